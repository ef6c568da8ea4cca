package bergamotwall.decisions

import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import kotlin.math.ceil
import kotlin.math.roundToInt

private const val PERCENT = 100
private const val MAX_ATTEMPTS = 4

/** One replica as the rollout sees it. */
public data class RolloutReplica(
    val id: TargetId,
    val version: WeightVersion,
    val swapping: Boolean,
    val running: Int,
    val reachable: Boolean,
    val failedAttempts: Int = 0,
)

/** What a rollout is to reach: all replicas serve [version] within [budgetMillis] of its publication. */
public data class RolloutGoal(
    val version: WeightVersion,
    val floorPercent: Int,
    val stalenessWeightPercent: Int,
    val maxLoads: Int,
    val elapsedMillis: Long,
    val budgetMillis: Long,
    val swapMillis: Long,
)

/** Orders to send now, replicas set aside, and the rule that chose them. */
public data class RolloutDecision(val order: List<TargetId>, val setAside: List<TargetId>, val rule: String)

/**
 * Chooses which [replicas] to swap now.
 *
 * The wave is as large as the availability floor allows when staleness weighs 100, and as small as the time budget
 * allows when it weighs 0; within a wave, idle replicas go first, then the oldest versions.
 */
public fun decideRollout(
    goal: RolloutGoal,
    replicas: List<RolloutReplica>,
): RolloutDecision {
    val alive = replicas.filter { it.reachable }
    val setAside = alive.filter { it.failedAttempts >= MAX_ATTEMPTS && it.version < goal.version }
    val pending = alive.filter { it.version < goal.version && !it.swapping && it !in setAside }
    val swapping = alive.count { it.swapping }
    val allowed = allowedAway(goal, alive.size) - swapping - setAside.size
    val wave =
        minOf(allowed, waveSize(goal, pending.size, allowedAway(goal, alive.size)) - swapping, goal.maxLoads - swapping)
    val order =
        pending
            .sortedWith(compareBy<RolloutReplica> { it.running }.thenBy { it.version }.thenBy { it.id.value })
            .take(maxOf(0, wave))
            .map { it.id }
    return RolloutDecision(order, setAside.map { it.id }, "floor ${goal.floorPercent}%, wave $wave of ${pending.size}")
}

private fun allowedAway(
    goal: RolloutGoal,
    alive: Int,
): Int = maxOf(1, alive * (PERCENT - goal.floorPercent) / PERCENT)

private fun waveSize(
    goal: RolloutGoal,
    pending: Int,
    allowed: Int,
): Int {
    val left = maxOf(0L, goal.budgetMillis - goal.elapsedMillis)
    val wavesLeft = maxOf(1L, left / maxOf(1L, goal.swapMillis))
    val needed = ceil(pending.toDouble() / wavesLeft).toInt()
    val wished = (allowed.toDouble() * goal.stalenessWeightPercent / PERCENT).roundToInt()
    return maxOf(1, needed, wished)
}
