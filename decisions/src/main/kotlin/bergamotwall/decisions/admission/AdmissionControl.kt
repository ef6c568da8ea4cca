package bergamotwall.decisions.admission

import bergamotwall.decisions.crashes.CrashSuspicion
import bergamotwall.decisions.crashes.SuspicionVerdict
import bergamotwall.decisions.placement.DispatchLimits
import bergamotwall.decisions.placement.expectedMillis
import bergamotwall.model.DispatchRequest
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind

/** Decides whether a request may be queued, and builds the problem for one that is refused. Not thread-safe. */
internal class AdmissionControl(
    private val limits: DispatchLimits,
    private val queues: RequestQueues,
    private val suspicion: CrashSuspicion,
) {
    val waits = WaitEstimator()

    /** The problem with which [request] is refused, or null if it may be queued for one of [capacity] slots. */
    fun refusal(
        request: DispatchRequest,
        hasTargets: Boolean,
        capacity: Int,
        nowMillis: Long,
    ): Problem? {
        val quarantined = quarantined(request, nowMillis)
        val waitMillis = expectedWaitMillis(request, capacity)
        return when {
            quarantined -> problem(request, ProblemKind.QUARANTINED, QUARANTINED, capacity)
            !hasTargets -> problem(request, ProblemKind.UNAVAILABLE, "no target serves this", capacity)
            waitMillis > request.deadlineInMillis ->
                problem(request, ProblemKind.OVERLOADED, "the queue is longer than the deadline", capacity)
            else -> null
        }
    }

    /** Whether [request] is refused because its content crashed its targets. Items of batches never are. */
    fun quarantined(
        request: DispatchRequest,
        nowMillis: Long,
    ): Boolean =
        !request.fromBatch && suspicion.verdict(request.fingerprint, nowMillis) == SuspicionVerdict.QUARANTINED

    /** Whether the queues are full, so that a request of a lower class has to be shed before another is queued. */
    fun queuesFull(): Boolean = queues.size >= limits.maxQueued

    fun problem(
        request: DispatchRequest,
        kind: ProblemKind,
        rule: String,
        capacity: Int,
    ): Problem {
        val waitMillis = maxOf(MIN_RETRY_AFTER_MILLIS, expectedWaitMillis(request, capacity))
        return Problem(kind, rule, retryAfterMillis = waitMillis.takeIf { kind != ProblemKind.QUARANTINED })
    }

    private fun expectedWaitMillis(
        request: DispatchRequest,
        capacity: Int,
    ): Long = waits.expectedMillis(queues.aheadOf(request.priorityClass), capacity)

    companion object {
        /** Rule by which a request with quarantined content is refused. */
        const val QUARANTINED = "this content crashed its targets"
        private const val MIN_RETRY_AFTER_MILLIS = 100L
    }
}
