package bergamotwall.gateway.batches

import bergamotwall.model.BatchPage

/** Outcome of submitting a batch. */
public sealed interface SubmitOutcome {
    /** The batch is stored durably, by this submission or an earlier one. */
    public data object Accepted : SubmitOutcome

    /** There is a batch with this id, which another workspace has submitted. */
    public data object Foreign : SubmitOutcome

    /** This submission runs no item of the batch, now or later; the caller may retry after [retryAfterMillis]. */
    public data class Refused(val reason: String, val retryAfterMillis: Long) : SubmitOutcome

    /** Whether the batch was accepted, or still will be, is not known. */
    public data class Unknown(val reason: String) : SubmitOutcome
}

/** Outcome of reading a batch or one of its items. */
public sealed interface ReadOutcome {
    /** Results of the batch. */
    public data class Page(val page: BatchPage) : ReadOutcome

    /** Request body of an item. */
    public class Body(public val bytes: ByteArray) : ReadOutcome

    /** The batch does not exist, or has no such item. */
    public data object Absent : ReadOutcome

    /** Neither the batch's owner nor the key-value service responded. */
    public data class Unavailable(val reason: String) : ReadOutcome
}

/** Outcome of ending a batch. */
public sealed interface EndOutcome {
    /** The end is stored durably. */
    public data object Ended : EndOutcome

    /** The batch does not exist, and no creation that is under way can store it any more. */
    public data object Absent : EndOutcome

    /** The end could not be stored durably; the caller may retry. */
    public data class Unavailable(val reason: String) : EndOutcome
}
