package bergamotwall.decisions.scaling

import bergamotwall.model.DataCentre

/**
 * Targets of a service, and what is known of its load.
 *
 * [present]: targets by pool that serve, or will serve as they were ordered lately; without those that leave.
 * [closed]: pools in which nothing can be ordered now. [shortOfMinimum]: data centres that have had too few targets for
 * long enough to fill them up. [sustained]: what was needed all of the last moments; [peak]: the greatest need of the
 * calm period that precedes a reduction. [calm]: the service may be scaled down.
 */
public data class ServiceScaling(
    val terms: ScalingTerms,
    val present: Map<ScalingPool, Int>,
    val closed: Set<ScalingPool> = emptySet(),
    val shortOfMinimum: Set<DataCentre> = emptySet(),
    val sustained: TargetNeed = TargetNeed.NONE,
    val peak: TargetNeed = sustained,
    val calm: Boolean = false,
)

/** Number of targets to order in [pool], and why. */
public data class PoolOrder(val pool: ScalingPool, val desired: Int, val reason: ScalingReason)

/** Why targets are ordered. */
public enum class ScalingReason {
    /** The data centre has fewer targets than the configuration requires. */
    MINIMUM,

    /** The known work needs more targets. */
    WORK,

    /** The known work has needed fewer targets for a long time. */
    CALM,
}

/**
 * Decides the numbers of targets to order for a service; empty if those that are present stay.
 *
 * Answers a load that changes faster than targets start: requests in rising numbers, batches that would end late, and
 * the loss of targets, which all show as a need beyond the present targets. Nothing is ordered without a need, so a
 * target that was lost is replaced only if the others don't serve the known work. Targets are ordered where they are
 * cheapest, and elsewhere if the platform has none there. A data centre gets only so many spot targets that all
 * others together serve the load when it loses them. Targets are given up where they are dearest, after a calm
 * period, a quarter at a time.
 */
public fun decideScaling(scaling: ServiceScaling): List<PoolOrder> {
    val plan = ScalingPlan(scaling)
    scaling.shortOfMinimum.sortedBy { it.value }.forEach { plan.fillMinimum(it) }
    val filled = plan.counts()
    val reason =
        when {
            scaling.sustained.scaleUpBelow > plan.total -> {
                plan.scaleUp()
                ScalingReason.WORK
            }
            scaling.calm && filled == scaling.present -> {
                plan.scaleDown()
                ScalingReason.CALM
            }
            else -> ScalingReason.MINIMUM
        }
    val decided = plan.counts()
    return decided.keys
        .filter { decided[it] != (scaling.present[it] ?: 0) }
        .map { pool ->
            PoolOrder(
                pool,
                decided.getValue(pool),
                if (decided[pool] == filled[pool]) ScalingReason.MINIMUM else reason
            )
        }
}

private class ScalingPlan(private val scaling: ServiceScaling) {
    private val terms = scaling.terms
    private var planned = scaling.present

    val total: Int get() = planned.values.sum()

    fun counts(): Map<ScalingPool, Int> = planned

    /** Orders regular targets only: a spot target may be reclaimed at any moment. */
    fun fillMinimum(dataCentre: DataCentre) {
        val pool = ScalingPool(dataCentre, spot = false)
        val missing = minOf(terms.minReplicas, terms.maxReplicas) - countIn(dataCentre)
        if (pool in terms.pools && pool !in scaling.closed && missing > 0) change(pool, missing)
    }

    fun scaleUp() {
        val before = planned
        var goal = scaling.sustained.withReserve
        // The number of spot targets that is safe depends on the final number of targets.
        while (true) {
            planned = before
            var pool = cheapest(goal)
            while (total < goal && pool != null) {
                change(pool, 1)
                pool = cheapest(goal)
            }
            if (total >= goal) break
            goal = total
        }
        val changed = planned.keys.filter { planned[it] != before[it] }.map { it.dataCentre }.toSet()
        changed.forEach { fillMinimum(it) }
    }

    fun scaleDown() {
        val before = total
        val steps = maxOf(1, before / STEP_DIVISOR)
        while (total > scaling.peak.withReserve + MARGIN && before - total < steps) {
            change(terms.pools.lastOrNull { mayLeave(it) } ?: return, -1)
        }
    }

    private fun cheapest(goal: Int): ScalingPool? =
        terms.pools.firstOrNull { pool ->
            val fits = countIn(pool.dataCentre) < terms.maxReplicas
            val spare = goal - scaling.sustained.least
            pool !in scaling.closed && fits && (!pool.spot || count(pool) < spare)
        }

    private fun mayLeave(pool: ScalingPool): Boolean {
        val spare = total - 1 - scaling.peak.least
        val safe = terms.pools.none { it != pool && it.spot && count(it) > maxOf(0, spare) }
        return count(pool) > 0 && countIn(pool.dataCentre) > terms.minReplicas && safe && pool !in scaling.closed
    }

    private fun count(pool: ScalingPool): Int = planned[pool] ?: 0

    private fun countIn(dataCentre: DataCentre): Int =
        count(ScalingPool(dataCentre, spot = false)) + count(ScalingPool(dataCentre, spot = true))

    private fun change(
        pool: ScalingPool,
        by: Int,
    ) {
        planned = planned + (pool to count(pool) + by)
    }

    private companion object {
        /** A quarter at a time: if the need was underestimated, most of the targets are still there. */
        private const val STEP_DIVISOR = 4

        /** Keeps a load at the border of two numbers from being scaled up and down in turn. */
        private const val MARGIN = 1
    }
}
