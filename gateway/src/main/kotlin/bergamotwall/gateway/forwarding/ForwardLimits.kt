package bergamotwall.gateway.forwarding

import bergamotwall.gateway.routes.Route
import kotlinx.serialization.Serializable

/** Limits for forwarding requests. */
@Serializable
public data class ForwardLimits(
    /**
     * Larger responses are passed on while they arrive, so that a request is not sent to another target if its response
     * breaks off after that.
     */
    val maxAnswerBytes: Int = 262_144,
    /** Hedging delay in percent of the route's target latency; leaves the second target time to respond within it. */
    val hedgePercent: Int = 50,
    /** Backoff per refusal before the next target is tried: one round trip between data centres. */
    val refusedPauseMillis: Long = 5,
    /** Retry-After for callers: full targets accept requests again after about the duration of one request. */
    val retryAfterMillis: Long = 250,
    /** Longest Retry-After where targets are at their request limits: other entries have parts of these limits too. */
    val maxLimitRetryAfterMillis: Long = 1_000,
    /** Hedging by percentile and with a budget; null for a fixed delay without one. */
    val hedging: HedgeSettings? = null,
) {
    /** The longest time without a response after which a request on [route] is hedged. */
    internal fun hedgeMillis(route: Route): Long = route.targetLatencyMillis * hedgePercent / PERCENT

    private companion object {
        private const val PERCENT = 100
    }
}
