package bergamotwall.gateway.forwarding

import org.HdrHistogram.IntCountsHistogram

/**
 * Durations of a service's requests in the current window of [windowMillis] and the one before it. Thread-safe. Holds
 * some 15 KB.
 */
internal class RecentDurations(private val windowMillis: Long) {
    private var current = histogram()
    private var previous = histogram()
    private var windowEndsAtMillis = Long.MIN_VALUE
    private var computedMillis: Long? = null
    private var computeAgainAtMillis = Long.MIN_VALUE

    /** Records a request that took [millis] until [nowMillis]. */
    @Synchronized
    fun record(
        millis: Long,
        nowMillis: Long,
    ) {
        rotate(nowMillis)
        current.recordValue(millis.coerceIn(1, MAX_MILLIS))
    }

    /** The [percentile] of the durations at [nowMillis], at most a second old; null if too few are known. */
    @Synchronized
    fun percentileMillis(
        percentile: Double,
        nowMillis: Long,
    ): Long? {
        rotate(nowMillis)
        if (computedMillis == null || nowMillis >= computeAgainAtMillis) {
            val all = current.copy().apply { add(previous) }
            computedMillis = if (all.totalCount < MIN_DURATIONS) null else all.getValueAtPercentile(percentile)
            computeAgainAtMillis = nowMillis + COMPUTE_PERIOD_MILLIS
        }
        return computedMillis
    }

    private fun rotate(nowMillis: Long) {
        if (nowMillis < windowEndsAtMillis) return
        val idle = nowMillis >= windowEndsAtMillis + windowMillis
        previous = if (idle) histogram() else current
        current = histogram()
        windowEndsAtMillis = nowMillis + windowMillis
    }

    private fun histogram() = IntCountsHistogram(MAX_MILLIS, SIGNIFICANT_DIGITS)

    private companion object {
        private const val MAX_MILLIS = 60_000L
        private const val SIGNIFICANT_DIGITS = 2

        /** Fewer leave less than three durations above the 95th percentile. */
        private const val MIN_DURATIONS = 50L
        private const val COMPUTE_PERIOD_MILLIS = 1_000L
    }
}
