package bergamotwall.gateway.usage

import bergamotwall.model.FencingNumber
import bergamotwall.model.NodeId

/** The platform's API for reports; implemented per platform. */
public interface UsageApi {
    /**
     * Sends [report] in the name of [holder]. [mayAct] is called immediately before the bytes that complete the call
     * are written; if it returns false, they never are.
     */
    public suspend fun send(
        report: UsageReport,
        holder: NodeId,
        fence: FencingNumber,
        mayAct: () -> Boolean,
    ): UsageOutcome
}

/** Outcome of a call of the [UsageApi]. [answered]: the API responded, or the call certainly never reaches it. */
public enum class UsageOutcome(public val answered: Boolean) {
    /** The report is accepted. */
    ACCEPTED(true),

    /** Too many calls: to be sent again. */
    LIMITED(true),

    /** The API can't accept it now: to be sent again. */
    UNAVAILABLE(true),

    /** The API does not accept this report. */
    REFUSED(true),

    /** There is no connection to the API, or the process must not act any more. */
    NOT_SENT(true),

    /** No response: the report may have been accepted, or may still be. */
    UNKNOWN(false),
}
