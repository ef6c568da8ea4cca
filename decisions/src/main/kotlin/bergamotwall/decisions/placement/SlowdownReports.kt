package bergamotwall.decisions.placement

/** A target's recent reports of its slowdown, newest last, and its [typical] slowdown. Immutable. */
public class SlowdownReports private constructor(
    private val reports: List<Report>,
    private val typical: Double,
) {
    private class Report(val factor: Double, val atMillis: Long) {
        fun weightMillis(
            from: Double,
            until: Double,
        ): Double = Slowdown.weightMillis(until - atMillis) - Slowdown.weightMillis(from - atMillis)
    }

    /** Without a report. */
    public constructor() : this(emptyList(), 1.0)

    /** After a report, received at [nowMillis], that work takes [percent] of its usual duration. */
    public fun with(
        percent: Int,
        nowMillis: Long,
    ): SlowdownReports {
        val factor = (percent / PERCENT).coerceIn(LOWEST_FACTOR, HIGHEST_FACTOR)
        val earlier = reports.filter { it.atMillis < nowMillis }.takeLast(MAX_REPORTS - 1)
        return SlowdownReports(earlier + Report(factor, nowMillis), typical + (factor - typical) * TYPICAL_WEIGHT)
    }

    /** The slowdown as known at [nowMillis]; null without a report. */
    public fun at(nowMillis: Long): Slowdown? =
        reports.lastOrNull()?.let { Slowdown(it.factor, (nowMillis - it.atMillis).coerceAtLeast(0), typical) }

    /**
     * The mean slowdown of a run from [startMillis] to [endMillis]. Each report counts for the time that it is the
     * nearest one to, with a weight that decays with the distance; the rest counts as typical.
     */
    public fun during(
        startMillis: Long,
        endMillis: Long,
    ): Double {
        val sum =
            reports.withIndex().sumOf { (index, report) ->
                val from = maxOf(startMillis.toDouble(), middle(index - 1) ?: startMillis.toDouble())
                val until = minOf(endMillis.toDouble(), middle(index) ?: endMillis.toDouble())
                if (from < until) report.weightMillis(from, until) * (report.factor - typical) else 0.0
            }
        return typical + sum / maxOf(1, endMillis - startMillis)
    }

    /** The middle between the reports [index] and [index] + 1, if both exist. */
    private fun middle(index: Int): Double? {
        val first = reports.getOrNull(index) ?: return null
        return reports.getOrNull(index + 1)?.let { (first.atMillis + it.atMillis) / 2.0 }
    }

    private companion object {
        private const val PERCENT = 100.0

        /** A factor outside of this range is taken for an error; those of the platform are 1 to 4. */
        private const val LOWEST_FACTOR = 0.25
        private const val HIGHEST_FACTOR = 16.0

        /** Covers the run of a short request at a busy target, which reports with each response. */
        private const val MAX_REPORTS = 16

        /** Some dozens of reports make the typical slowdown. */
        private const val TYPICAL_WEIGHT = 0.05
    }
}
