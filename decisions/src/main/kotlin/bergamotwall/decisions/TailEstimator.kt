package bergamotwall.decisions

import java.util.concurrent.atomic.AtomicReference
import kotlin.math.ceil

/** Learns from durations of finished generations how long the tail is. Safe for concurrent use. */
public class TailEstimator {
    private val snapshot = AtomicReference<List<Long>>(emptyList())
    private val recent: List<Long> get() = snapshot.get()

    /** Feeds the duration of a generation that ended whole. */
    public fun add(durationMillis: Long) {
        snapshot.updateAndGet { (it + durationMillis).takeLast(KEPT) }
    }

    /** Spares worth starting beside [missing] needed ones: the share expected beyond [LATE_RATIO] medians. */
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
        private const val KEPT = 256
        private const val MIN_SAMPLES = 16
        private const val DEFAULT_SHARE = 0.25
        private const val LATE_RATIO = 2.0
        private const val MEDIAN = 0.5
        private const val LATE_QUANTILE = 0.9
    }
}
