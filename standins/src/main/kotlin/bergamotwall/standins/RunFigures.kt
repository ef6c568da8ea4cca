package bergamotwall.standins

private const val P99 = 0.99

/** Measures of a run. */
internal class RunFigures(private val records: RunRecords) {
    /** Share of their time that trainers waited for batches. */
    fun idleShare(): Double {
        val batches = records.batches
        val totalMillis =
            batches.groupBy { it.trainer }.values.sumOf { own ->
                own.maxOf { it.atMillis } - own.minOf { it.orderedAtMillis }
            }
        return if (totalMillis == 0L) 0.0 else batches.sumOf { it.waitedMillis }.toDouble() / totalMillis
    }

    /** Median age of samples in versions. */
    fun medianAge(): Long {
        val ages = records.batches.flatMap { it.ageVersions }.sorted()
        return if (ages.isEmpty()) 0 else ages[ages.size / 2]
    }

    /** 99th percentile of the time that application callers waited for whole answers, in milliseconds. */
    fun p99Millis(): Long {
        val whole = records.calls.filter { it.outcome == CallOutcome.WHOLE && it.kind == CallKind.MODEL }
        val took = whole.map { it.tookMillis }.sorted()
        return if (took.isEmpty()) 0 else took[((took.size - 1) * P99).toInt()]
    }
}
