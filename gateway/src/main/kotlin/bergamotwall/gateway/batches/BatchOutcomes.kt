package bergamotwall.gateway.batches

import bergamotwall.model.BatchPage

/** How the submission of a batch ended. */
public sealed interface SubmitOutcome {
    /** The batch is durable, by this submission or an earlier one. */
    public data object Accepted : SubmitOutcome

    /** Nothing of it runs or will run, by this submission; come back after [retryAfterMillis]. */
    public data class Refused(val reason: String, val retryAfterMillis: Long) : SubmitOutcome

    /** It may be accepted or not. */
    public data class Unknown(val reason: String) : SubmitOutcome
}

/** What reading a batch found. */
public sealed interface ReadOutcome {
    /** Its results. */
    public data class Page(val page: BatchPage) : ReadOutcome

    /** Body of one of its items. */
    public class Body(public val bytes: ByteArray) : ReadOutcome

    /** There is no such batch, or no such item of it. */
    public data object Absent : ReadOutcome

    /** Neither its owner nor the key-value service answered. */
    public data class Unavailable(val reason: String) : ReadOutcome
}

/** How the end of a batch went. */
public sealed interface EndOutcome {
    /** The end is durable. */
    public data object Ended : EndOutcome

    /** There is no such batch. */
    public data object Absent : EndOutcome

    /** The end could not be made durable; ask again. */
    public data class Unavailable(val reason: String) : EndOutcome
}
