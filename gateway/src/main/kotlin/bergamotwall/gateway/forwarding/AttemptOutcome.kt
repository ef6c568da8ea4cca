package bergamotwall.gateway.forwarding

import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange

/** Outcome of sending a request to one target. */
internal sealed interface AttemptOutcome {
    /** A complete response that the target has signed. */
    class Complete(val head: ResponsePart.Head, val body: ByteArray) : AttemptOutcome

    /** The head of a streamed response; its body follows on [exchange]. */
    class StreamStarted(val head: ResponsePart.Head, val exchange: TargetExchange) : AttemptOutcome

    /** The target did not run the request. [full]: because it has no free slot at present, or is loading weights. */
    data class NotRun(val reason: String, val full: Boolean = false) : AttemptOutcome

    /**
     * The attempt failed without a complete response; the request may have run. [disconnected]: the target ended the
     * connection.
     */
    data class Broken(val reason: String, val disconnected: Boolean = false) : AttemptOutcome
}
