package bergamotwall.decisions

import bergamotwall.model.Offer
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind

/** Whether an offer may wait, and what to tell those who may not. Not thread-safe. */
internal class Admission(
    private val limits: DispatchLimits,
    private val queues: OfferQueues,
    private val suspicion: CrashSuspicion,
) {
    val waits = WaitEstimator()

    /** The problem with which [offer] is refused, or null if it may wait for one of [capacity] slots. */
    fun refusal(
        offer: Offer,
        hasTargets: Boolean,
        capacity: Int,
        nowMillis: Long,
    ): Problem? {
        val quarantined = suspicion.standing(offer.fingerprint, nowMillis) == Standing.QUARANTINED
        val waitMillis = expectedWaitMillis(offer, capacity)
        return when {
            quarantined -> problem(offer, ProblemKind.QUARANTINED, QUARANTINED, capacity)
            !hasTargets -> problem(offer, ProblemKind.UNAVAILABLE, "no target serves this", capacity)
            waitMillis > offer.deadlineInMillis ->
                problem(offer, ProblemKind.OVERLOADED, "the queue is longer than the deadline", capacity)
            else -> null
        }
    }

    /** Whether the queues are full, so that a lower class has to make room. */
    fun full(): Boolean = queues.size >= limits.maxQueued

    fun problem(
        offer: Offer,
        kind: ProblemKind,
        rule: String,
        capacity: Int,
    ): Problem {
        val waitMillis = maxOf(MIN_RETRY_AFTER_MILLIS, expectedWaitMillis(offer, capacity))
        return Problem(kind, rule, retryAfterMillis = waitMillis.takeIf { kind != ProblemKind.QUARANTINED })
    }

    private fun expectedWaitMillis(
        offer: Offer,
        capacity: Int,
    ): Long = waits.expectedMillis(queues.aheadOf(offer.priorityClass), capacity)

    companion object {
        /** Rule by which quarantined content is refused. */
        const val QUARANTINED = "this content crashed its targets"
        private const val MIN_RETRY_AFTER_MILLIS = 100L
    }
}
