package bergamotwall.standins

import kotlinx.serialization.KSerializer
import java.io.File
import kotlin.math.abs

private const val FAULT_WINDOW_MILLIS = 12_000L

/** All records of a run, and what follows from them. */
internal class RunRecords(private val folder: File) {
    val batches: List<BatchRecord> = read("trainer-", BatchRecord.serializer())
    val published: List<PublishRecord> = read("publish-", PublishRecord.serializer())
    val calls: List<CallRecord> = read("caller-", CallRecord.serializer())
    val faults: List<FaultRecord> = read("faults", FaultRecord.serializer())
    val runsByKey: Map<String, List<ServiceRun>> = read("service-", ServiceRun.serializer()).groupBy { it.key }
    private val revisions = read("revisions", RevisionRecord.serializer())
    private val bounds = boundsOf(folder)

    fun count(outcome: CallOutcome): Int = calls.count { it.outcome == outcome }

    fun doubledSamples(): Int =
        batches.groupBy { it.trainer }.values.sumOf { own ->
            val ids = own.flatMap { it.samples }
            ids.size - ids.toSet().size
        }

    /** Batches that a trainer skipped or took twice. */
    fun batchGaps(): Int =
        batches.groupBy { it.trainer }.values.sumOf { own ->
            own.map { it.batch }.zip(1L..own.size).count { (got, expected) -> got != expected }
        }

    /** Service calls answered as whole that never ran. */
    fun lostRuns(): Int =
        calls.count { it.kind == CallKind.SERVICE && it.outcome == CallOutcome.WHOLE && it.key !in runsByKey }

    /** Calls said not to have run whose key had run by then. */
    fun falseNotRun(): Int =
        calls.count { call ->
            call.kind == CallKind.SERVICE &&
                call.outcome == CallOutcome.NOT_RUN &&
                runsByKey[call.key].orEmpty().any { it.atMillis < call.atMillis }
        }

    fun reverted(): Int =
        revisions.filter { it.revision > 0 }.groupBy { it.node }.values.sumOf { seen ->
            seen.zipWithNext().count { (before, after) -> after.revision < before.revision }
        }

    /** Whether a fault at the entry that [call] used explains why it was cut. */
    fun explainedByFault(call: CallRecord): Boolean =
        faults.any {
            it.kind != "planned" && it.address == call.entry && abs(it.atMillis - call.atMillis) < FAULT_WINDOW_MILLIS
        }

    /** Batches with samples older than the bound, against what anyone had published before the order. */
    fun staleForOthers(): Int =
        batches.count { batch ->
            val newest = published.filter { it.atMillis < batch.orderedAtMillis }.maxOfOrNull { it.version } ?: 0
            val bound = bounds[batch.trainer] ?: Int.MAX_VALUE.toLong()
            batch.samples.isNotEmpty() && batch.oldestVersion < newest - bound
        }

    private fun <T> read(
        prefix: String,
        format: KSerializer<T>,
    ): List<T> =
        folder
            .listFiles { f -> f.name.startsWith(prefix) && f.name.endsWith(".jsonl") }
            .orEmpty()
            .sortedBy { it.name }
            .flatMap { Records.read(it, format) }
}

private fun boundsOf(folder: File): Map<String, Long> {
    val file = File(folder, "bounds.txt")
    if (!file.isFile) return emptyMap()
    return file.readLines().filter { ' ' in it }.associate { line ->
        line.substringBefore(' ') to line.substringAfter(' ').toLong()
    }
}
