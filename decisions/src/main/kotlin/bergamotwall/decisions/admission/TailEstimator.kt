package bergamotwall.decisions.admission

import java.util.concurrent.atomic.AtomicReference
import kotlin.math.ceil

/** Estimates the tail of the durations of generations from recently completed ones. Safe for concurrent use. */
public class TailEstimator {
    private val snapshot = AtomicReference<List<Long>>(emptyList())
    private val recent: List<Long> get() = snapshot.get()

    /** Adds the duration of a completed generation. */
    public fun add(durationMillis: Long) {
        snapshot.updateAndGet { (it + durationMillis).takeLast(MAX_SAMPLES) }
    }

    /**
     * Number of spare generations to start in addition to [missing] needed ones: the share of them that is expected to
     * take longer than [LATE_RATIO] times the median.
     */
    public fun spares(missing: Int): Int {
        if (recent.size < MIN_SAMPLES) return ceil(missing * DEFAULT_SHARE).toInt()
        val median = quantile(MEDIAN)
        val share = recent.count { it > median * LATE_RATIO }.toDouble() / recent.size
        return ceil(missing * share).toInt()
    }

    /** Age after which a running generation counts as a straggler, in milliseconds. */
    public fun lateAfterMillis(): Long = if (recent.size < MIN_SAMPLES) Long.MAX_VALUE else quantile(LATE_QUANTILE)

    private fun quantile(q: Double): Long = recent.sorted()[((recent.size - 1) * q).toInt()]

    private companion object {
        private const val MAX_SAMPLES = 256
        private const val MIN_SAMPLES = 16
        private const val DEFAULT_SHARE = 0.25
        private const val LATE_RATIO = 2.0
        private const val MEDIAN = 0.5
        private const val LATE_QUANTILE = 0.9
    }
}
