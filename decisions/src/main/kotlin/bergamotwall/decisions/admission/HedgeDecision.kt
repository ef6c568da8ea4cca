package bergamotwall.decisions.admission

import bergamotwall.decisions.placement.CandidateTarget
import bergamotwall.decisions.placement.chooseTarget
import bergamotwall.decisions.placement.expectedMillis
import bergamotwall.model.TargetId
import kotlin.random.Random

/**
 * A request that has had no response for [waitedMillis] since it was last sent, to [target] (null if that is gone). It
 * was sent to [tried] so far and must have its response within [remainingMillis].
 */
public data class UnansweredRequest(
    val target: CandidateTarget?,
    val tried: Set<TargetId>,
    val waitedMillis: Long,
    val remainingMillis: Long,
)

/** Whether an unanswered request is sent to a further target. */
public sealed interface HedgeDecision {
    /** Send it to [target]. */
    public data class Send(val target: TargetId) : HedgeDecision

    /** Don't send it now, for [reason]. */
    public data class Withhold(val reason: WithheldHedge) : HedgeDecision
}

/** Why a request is not hedged. */
public enum class WithheldHedge {
    /** No other target has a free slot beyond its reserve. */
    NO_FREE_SLOT,

    /** The other target would take at least as long as the request is expected to take where it is. */
    NOT_FASTER,

    /** The deadline would pass before the other target's response. */
    DEADLINE,

    /** The extra sends of the service are used up. */
    BUDGET,
}

/**
 * Decides whether [request] is sent to one of the other [candidates] as well.
 *
 * Made for services of which few responses are slow, for reasons of a single run or target. Hedging must not add to an
 * overload: it uses free slots only and leaves [RESERVE_PERCENT] of a target's slots to first sends, its [budget]
 * bounds the extra load, and where many targets are slow, the estimates of the others rise with their occupancy until
 * they are not faster any more.
 */
public fun decideHedge(
    request: UnansweredRequest,
    candidates: List<CandidateTarget>,
    budget: RetryBudget,
    random: Random,
): HedgeDecision {
    val target = chooseTarget(candidates.filter { it.available && hasSpareSlot(it) }, request.tried, random)
    val expectedMillis = target?.let { expectedMillis(it) } ?: 0.0
    val reason =
        when {
            target == null -> WithheldHedge.NO_FREE_SLOT
            expectedMillis >= remainingMillis(request) -> WithheldHedge.NOT_FASTER
            expectedMillis > request.remainingMillis -> WithheldHedge.DEADLINE
            budget.taken() == null -> WithheldHedge.BUDGET
            else -> return HedgeDecision.Send(target.id)
        }
    return HedgeDecision.Withhold(reason)
}

private fun hasSpareSlot(target: CandidateTarget): Boolean =
    target.free > target.slots * RESERVE_PERCENT / PERCENT

/**
 * How much longer [request] is expected to take where it is: as long as a new one there, or as long as it has waited
 * already. What is left of a request that is already late does not shrink with the time waited: durations have a tail
 * at least as heavy as that of the exponential distribution, or there would be no reason to hedge.
 */
private fun remainingMillis(request: UnansweredRequest): Double =
    maxOf(request.target?.let { expectedMillis(it) } ?: 0.0, request.waitedMillis.toDouble())

/** Reports of other processes' requests are up to a second old, in which a quarter of the slots may have been taken. */
private const val RESERVE_PERCENT = 25
private const val PERCENT = 100
