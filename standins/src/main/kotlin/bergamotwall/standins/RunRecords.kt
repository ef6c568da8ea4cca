package bergamotwall.standins

import kotlinx.serialization.KSerializer
import java.io.File
import kotlin.math.abs

private const val FAULT_WINDOW_MILLIS = 12_000L

/** All records of a run, and the checks that span several of them. */
internal class RunRecords(private val folder: File) {
    val batches: List<BatchRecord> = read("trainer-", BatchRecord.serializer())
    val published: List<PublishRecord> = read("publish-", PublishRecord.serializer())
    val calls: List<CallRecord> = read("caller-", CallRecord.serializer())
    val faults: List<FaultRecord> = read("faults", FaultRecord.serializer())
    val runsByKey: Map<String, List<ServiceRun>> = read("service-", ServiceRun.serializer()).groupBy { it.key }
    private val revisions = read("revisions", RevisionRecord.serializer())
    private val bounds = readBounds(folder)

    fun count(outcome: CallOutcome): Int = calls.count { it.outcome == outcome }

    /** Samples that a trainer received more than once. */
    fun duplicateSamples(): Int =
        batches.groupBy { it.trainer }.values.sumOf { ofTrainer ->
            val ids = ofTrainer.flatMap { it.samples }
            ids.size - ids.toSet().size
        }

    /** Batches out of sequence, as a trainer skipped one or received one twice. */
    fun batchesOutOfSequence(): Int =
        batches.groupBy { it.trainer }.values.sumOf { ofTrainer ->
            ofTrainer.map { it.batch }.zip(1L..ofTrainer.size).count { (got, expected) -> got != expected }
        }

    /** Service calls with a successful response that never ran. */
    fun lostRuns(): Int =
        calls.count { it.kind == CallKind.SERVICE && it.outcome == CallOutcome.WHOLE && it.key !in runsByKey }

    /** Service calls reported as not run although their key had run by then. */
    fun falseNotRun(): Int =
        calls.count { call ->
            call.kind == CallKind.SERVICE &&
                call.outcome == CallOutcome.NOT_RUN &&
                runsByKey[call.key].orEmpty().any { it.atMillis < call.atMillis }
        }

    /** Times that a node reported a lower configuration revision than before. */
    fun revertedRevisions(): Int =
        revisions.filter { it.revision > 0 }.groupBy { it.node }.values.sumOf { reported ->
            reported.zipWithNext().count { (before, after) -> after.revision < before.revision }
        }

    /** Whether an unplanned fault at the entry of [call], less than 12 s before or after, explains why it was cut. */
    fun explainedByFault(call: CallRecord): Boolean =
        faults.any {
            it.kind != "planned" && it.address == call.entry && abs(it.atMillis - call.atMillis) < FAULT_WINDOW_MILLIS
        }

    /** Batches with samples older than the bound, counted from the newest version published before the order. */
    fun batchesTooStale(): Int =
        batches.count { batch ->
            val newest = published.filter { it.atMillis < batch.orderedAtMillis }.maxOfOrNull { it.version } ?: 0
            val bound = bounds[batch.trainer] ?: Int.MAX_VALUE.toLong()
            batch.samples.isNotEmpty() && batch.oldestVersion < newest - bound
        }

    private fun <T> read(
        prefix: String,
        serializer: KSerializer<T>,
    ): List<T> =
        folder
            .listFiles { f -> f.name.startsWith(prefix) && f.name.endsWith(".jsonl") }
            .orEmpty()
            .sortedBy { it.name }
            .flatMap { RecordLog.read(it, serializer) }
}

/** Staleness bounds by trainer. */
private fun readBounds(folder: File): Map<String, Long> {
    val file = File(folder, "bounds.txt")
    if (!file.isFile) return emptyMap()
    return file.readLines().filter { ' ' in it }.associate { line ->
        line.substringBefore(' ') to line.substringAfter(' ').toLong()
    }
}
