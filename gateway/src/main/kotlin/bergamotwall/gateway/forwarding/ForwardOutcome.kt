package bergamotwall.gateway.forwarding

import bergamotwall.gateway.http.AnswerPart
import bergamotwall.gateway.http.TargetExchange

/** What became of a caller's request. */
public sealed interface ForwardOutcome {
    /** A target's whole answer. */
    public class Answered(public val head: AnswerPart.Head, public val body: ByteArray) : ForwardOutcome

    /** A target's answer whose parts are still to come. */
    public class Streaming(public val head: AnswerPart.Head, public val exchange: TargetExchange) : ForwardOutcome

    /** It did not run and will not; come back after [retryAfterMillis]. */
    public data class NotRun(val reason: String, val retryAfterMillis: Long) : ForwardOutcome

    /** It may have run; no whole answer came. */
    public data class Failed(val reason: String) : ForwardOutcome

    /** Time ran out; it may have run. */
    public data class TimedOut(val reason: String) : ForwardOutcome
}
