package bergamotwall.gateway.forwarding

import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange

/** Final outcome of a caller's request. */
public sealed interface ForwardOutcome {
    /** A target's complete response. */
    public class Completed(public val head: ResponsePart.Head, public val body: ByteArray) : ForwardOutcome

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

    /** The request may have run, but no complete response was received. */
    public data class Failed(val reason: String) : ForwardOutcome

    /** The deadline passed; the request may have run. */
    public data class TimedOut(val reason: String) : ForwardOutcome
}
