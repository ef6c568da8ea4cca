package bergamotwall.bench

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** One measured quantity of a benchmark: median and range over its rounds, and its target if it has one. */
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

/** Result of a benchmark. */
@Serializable
internal data class BenchResult(val bench: String, val figures: List<Figure>) {
    /** Whether no figure misses its target. */
    val met: Boolean get() = figures.none { it.met == false }
}

/** Figure of [values], one per round. Its target is met if the median is at most [atMost], or at least [atLeast]. */
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

/** The given [percentile] of [values], from an HdrHistogram with three significant digits. */
internal fun percentile(
    values: List<Long>,
    percentile: Double,
): Double {
    val histogram = Histogram(SIGNIFICANT_DIGITS)
    values.forEach { histogram.recordValue(it) }
    return histogram.getValueAtPercentile(percentile).toDouble()
}

private const val SIGNIFICANT_DIGITS = 3
