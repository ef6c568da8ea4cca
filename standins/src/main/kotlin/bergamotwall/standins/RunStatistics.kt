package bergamotwall.standins

private const val P99 = 0.99

/** Statistics of a run, computed from its records. */
internal class RunStatistics(private val records: RunRecords) {
    /** Share of the trainers' time in which they waited for batches. */
    fun idleShare(): Double {
        val batches = records.batches
        val totalMillis =
            batches.groupBy { it.trainer }.values.sumOf { ofTrainer ->
                ofTrainer.maxOf { it.atMillis } - ofTrainer.minOf { it.orderedAtMillis }
            }
        return if (totalMillis == 0L) 0.0 else batches.sumOf { it.waitedMillis }.toDouble() / totalMillis
    }

    /** Median number of versions that samples were behind the newest. */
    fun medianAge(): Long {
        val ages = records.batches.flatMap { it.ageVersions }.sorted()
        return if (ages.isEmpty()) 0 else ages[ages.size / 2]
    }

    /** 99th percentile of the time to a complete model response for application callers, in milliseconds. */
    fun p99Millis(): Long {
        val complete = records.calls.filter { it.outcome == CallOutcome.WHOLE && it.kind == CallKind.MODEL }
        val durations = complete.map { it.tookMillis }.sorted()
        return if (durations.isEmpty()) 0 else durations[((durations.size - 1) * P99).toInt()]
    }
}
