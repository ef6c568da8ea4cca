package bergamotwall.decisions.weights

import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import kotlin.math.ceil
import kotlin.math.roundToInt

private const val PERCENT = 100
private const val MAX_ATTEMPTS = 4

/** State of one replica, as seen by the rollout. */
public data class RolloutReplica(
    val id: TargetId,
    val version: WeightVersion,
    val swapping: Boolean,
    val running: Int,
    val reachable: Boolean,
    val failedAttempts: Int = 0,
)

/**
 * Goal of a rollout: all replicas serve [version] within [budgetMillis] of its publication.
 *
 * At least [floorPercent] of the replicas stay available, except that one may always swap, and at most [maxLoads] load
 * weights at once. [stalenessWeightPercent] sets the wave size between the smallest (0) and the largest (100) allowed.
 */
public data class RolloutGoal(
    val version: WeightVersion,
    val floorPercent: Int,
    val stalenessWeightPercent: Int,
    val maxLoads: Int,
    val elapsedMillis: Long,
    val budgetMillis: Long,
    val swapMillis: Long,
)

/** Replicas to [order] to swap now, replicas [excluded] after too many failures, and the rule for both. */
public data class RolloutDecision(val order: List<TargetId>, val excluded: List<TargetId>, val rule: String)

/**
 * Chooses which [replicas] to swap now.
 *
 * A wave is as large as the availability floor allows if the staleness weight is 100%, and as small as the time budget
 * allows if it is 0%. Within a wave, idle replicas go first, then those with the oldest versions.
 */
public fun decideRollout(
    goal: RolloutGoal,
    replicas: List<RolloutReplica>,
): RolloutDecision {
    val reachable = replicas.filter { it.reachable }
    val excluded = reachable.filter { it.failedAttempts >= MAX_ATTEMPTS && it.version < goal.version }
    val pending = reachable.filter { it.version < goal.version && !it.swapping && it !in excluded }
    val swapping = reachable.count { it.swapping }
    val allowed = maxUnavailable(goal, reachable.size) - swapping - excluded.size
    val wave =
        minOf(
            allowed,
            waveSize(goal, pending.size, maxUnavailable(goal, reachable.size)) - swapping,
            goal.maxLoads - swapping,
        )
    val order =
        pending
            .sortedWith(compareBy<RolloutReplica> { it.running }.thenBy { it.version }.thenBy { it.id.value })
            .take(maxOf(0, wave))
            .map { it.id }
    return RolloutDecision(order, excluded.map { it.id }, "floor ${goal.floorPercent}%, wave $wave of ${pending.size}")
}

private fun maxUnavailable(
    goal: RolloutGoal,
    reachable: Int,
): Int = maxOf(1, reachable * (PERCENT - goal.floorPercent) / PERCENT)

private fun waveSize(
    goal: RolloutGoal,
    pending: Int,
    allowed: Int,
): Int {
    val left = maxOf(0L, goal.budgetMillis - goal.elapsedMillis)
    val wavesLeft = maxOf(1L, left / maxOf(1L, goal.swapMillis))
    val needed = ceil(pending.toDouble() / wavesLeft).toInt()
    val desired = (allowed.toDouble() * goal.stalenessWeightPercent / PERCENT).roundToInt()
    return maxOf(1, needed, desired)
}
