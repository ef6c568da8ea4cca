package bergamotwall.gateway.forwarding

import kotlinx.serialization.Serializable

/** Settings of hedged requests with a budget. */
@Serializable
public data class HedgeSettings(
    /** Percentile of the service's recent durations after which a request is hedged. */
    val percentile: Double = 95.0,
    /** Bound on the extra sends, in percent of the service's requests that may be hedged. */
    val maxExtraPercent: Double = 5.0,
    /** Extra sends that may be made at once, after a time with fewer than the bound. */
    val burst: Double = 3.0,
    /** Durations of up to twice this time ago count. */
    val windowMillis: Long = 60_000,
    /** Shortest delay: within less, the response of a far target may be on its way. */
    val minDelayMillis: Long = 10,
) {
    /** Whether the values are within their ranges. */
    internal val valid: Boolean
        get() = percentile > 0 && percentile < MAX_PERCENT && maxExtraPercent in 0.0..MAX_PERCENT && burst >= 1 &&
            windowMillis > 0 && minDelayMillis > 0

    private companion object {
        private const val MAX_PERCENT = 100.0
    }
}
