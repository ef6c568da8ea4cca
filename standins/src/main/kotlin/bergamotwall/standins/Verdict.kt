package bergamotwall.standins

import kotlinx.serialization.Serializable
import java.io.File

/** Engines that a request may crash before it is quarantined. */
private const val MAX_CRASHED = 2

/** Kinds of fault records that are no injected faults. */
private val NOT_INJECTED = setOf("planned", "resume", "crashed")

/**
 * Result of checking a run by the records of the stand-ins. The guarantees of the fleet held if all counts from
 * [doubled] to [reverted] are zero.
 */
@Serializable
internal data class Verdict(
    val samplesDelivered: Int,
    val batches: Int,
    val doubled: Int,
    val lost: Int,
    val mislabelled: Int,
    val wrongAnswers: Int,
    val wrongScores: Int,
    val tooStale: Int,
    val cutOff: Int,
    val ranTwice: Int,
    val falseNotRun: Int,
    val reverted: Int,
    val applicationRequests: Int,
    val serviceRuns: Int,
    val unknownOutcomes: Int,
    val refusedAttempts: Int,
    val cutByFaults: Int,
    val cancelledStragglers: Int,
    val versionsPublished: Int,
    val faultsInjected: Int,
    val crashedByPoison: Int,
    val idleShare: Double,
    val medianStalenessVersions: Long,
    val applicationP99Millis: Long,
) {
    private val violations: Int
        get() = listOf(
            doubled,
            lost,
            mislabelled,
            wrongAnswers,
            wrongScores,
            tooStale,
            cutOff,
            ranTwice,
            falseNotRun,
            reverted,
        ).sum()

    /** Whether every guarantee that callers can check held, and there was work to check. */
    val passed: Boolean
        get() =
            violations == 0 &&
                crashedByPoison <= MAX_CRASHED &&
                samplesDelivered > 0 &&
                applicationRequests > 0 &&
                serviceRuns > 0
}

/** Checks the records in [folder]; [cancelled] is the number of cancelled generations by the metrics of the entries. */
internal fun verdictOf(
    folder: File,
    cancelled: Int,
): Verdict {
    val records = RunRecords(folder)
    val statistics = RunStatistics(records)
    val cuts = records.calls.filter { it.outcome == CallOutcome.CUT }
    val (byFault, unexplained) = cuts.partition { records.explainedByFault(it) }
    return Verdict(
        samplesDelivered = records.batches.sumOf { it.samples.size },
        batches = records.batches.size,
        doubled = records.duplicateSamples(),
        lost = records.batches.sumOf { it.short } + records.batchesOutOfSequence() + records.lostRuns(),
        mislabelled = records.batches.sumOf { it.mislabelled } + records.count(CallOutcome.MISLABELLED),
        wrongAnswers = records.batches.sumOf { it.wrong } + records.count(CallOutcome.WRONG),
        wrongScores = records.batches.sumOf { it.wrongScores },
        tooStale = records.batches.sumOf { it.tooStale } + records.batchesTooStale(),
        cutOff = unexplained.size,
        ranTwice = records.runsByKey.count { it.value.size > 1 },
        falseNotRun = records.falseNotRun(),
        reverted = records.revertedRevisions(),
        applicationRequests = records.count(CallOutcome.WHOLE),
        serviceRuns = records.runsByKey.size,
        unknownOutcomes = records.count(CallOutcome.UNKNOWN),
        refusedAttempts = records.count(CallOutcome.NOT_RUN),
        cutByFaults = byFault.size,
        cancelledStragglers = cancelled,
        versionsPublished = records.published.size,
        faultsInjected = records.faults.count { it.kind !in NOT_INJECTED },
        crashedByPoison = records.faults.count { it.kind == "crashed" },
        idleShare = statistics.idleShare(),
        medianStalenessVersions = statistics.medianAge(),
        applicationP99Millis = statistics.p99Millis(),
    )
}
