package bergamotwall.gateway.forwarding

import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange

/** Final outcome of a forwarded request. */
public sealed interface ForwardOutcome {
    /** A target's complete response. [failedRuns]: how many targets responded that the request failed there. */
    public class Completed(
        public val head: ResponsePart.Head,
        public val body: ByteArray,
        public val failedRuns: Int = 0,
    ) : ForwardOutcome

    /**
     * The head of a target's streamed response; the body follows on [exchange] and must end within [remainingMillis],
     * the caller's deadline or the route's timeout.
     */
    public class Streaming(
        public val head: ResponsePart.Head,
        public val exchange: TargetExchange,
        public val remainingMillis: Long,
    ) : ForwardOutcome

    /** No target ran the request and none will; the caller may retry after [retryAfterMillis]. */
    public data class NotRun(val reason: String, val retryAfterMillis: Long) : ForwardOutcome

    /**
     * The request may have run, but the last attempt had no complete response. [failedRuns]: how many targets responded
     * that the request failed there.
     */
    public data class Failed(val reason: String, val failedRuns: Int = 0) : ForwardOutcome

    /** The deadline passed; the request may have run. [failedRuns] is as in [Failed]. */
    public data class TimedOut(val reason: String, val failedRuns: Int = 0) : ForwardOutcome
}
