package bergamotwall.gateway.forwarding

import bergamotwall.gateway.http.AnswerPart
import bergamotwall.gateway.http.TargetExchange

/** How one attempt at one target ended. */
internal sealed interface AttemptOutcome {
    /** A whole answer, signed by the target. */
    class Whole(val head: AnswerPart.Head, val body: ByteArray) : AttemptOutcome

    /** The head of a stream; its parts follow on [exchange]. */
    class Started(val head: AnswerPart.Head, val exchange: TargetExchange) : AttemptOutcome

    /** The target did not run it; [full] if it has no slot free now or loads weights. */
    data class NotRun(val reason: String, val full: Boolean = false) : AttemptOutcome

    /** It may have run. */
    data class Broken(val reason: String) : AttemptOutcome
}
