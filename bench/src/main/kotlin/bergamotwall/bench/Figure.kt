package bergamotwall.bench

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** One figure of a bench: median and spread over its rounds, and the target it is held against. */
@Serializable
internal data class Figure(
    val name: String,
    val unit: String,
    val median: Double,
    val min: Double,
    val max: Double,
    val target: Double? = null,
    val met: Boolean? = null,
)

/** Result of a bench. */
@Serializable
internal data class BenchResult(val bench: String, val figures: List<Figure>) {
    /** Whether no figure misses its target. */
    val met: Boolean get() = figures.none { it.met == false }
}

/** Figure of [values], one a round; met if the median is at most [atMost], or at least [atLeast]. */
internal fun figureOf(
    name: String,
    unit: String,
    values: List<Double>,
    atMost: Double? = null,
    atLeast: Double? = null,
): Figure {
    val sorted = values.sorted()
    val median = sorted[sorted.size / 2]
    val met = atMost?.let { median <= it } ?: atLeast?.let { median >= it }
    return Figure(name, unit, median, sorted.first(), sorted.last(), atMost ?: atLeast, met)
}

/** Percentile [percentile] of [values], through an HdrHistogram of three digits. */
internal fun percentile(
    values: List<Long>,
    percentile: Double,
): Double {
    val histogram = Histogram(DIGITS)
    values.forEach { histogram.recordValue(it) }
    return histogram.getValueAtPercentile(percentile).toDouble()
}

private const val DIGITS = 3
