package bergamotwall.decisions.placement

import bergamotwall.model.TargetId
import kotlin.random.Random

/**
 * Chooses the target of a short request: the one where it is expected to end first.
 *
 * Made for short requests to a few targets of different speeds, one of which may have become slow: the expected time is
 * the target's smoothed latency, multiplied by its momentary slowdown if it reports one, increased with its occupancy,
 * plus the round trip to another data centre. Targets that back off are used only if there is no other; those at their
 * request limit are never used. [excluded] are the targets that were tried before.
 */
public fun chooseTarget(
    candidates: List<CandidateTarget>,
    excluded: Set<TargetId>,
    random: Random,
): CandidateTarget? {
    val pool = choosableTargets(candidates, excluded)
    return pool.minByOrNull { expectedMillis(it) * (1 + random.nextDouble() * TIE_SPREAD) }
}

/** The targets among which [chooseTarget] decides by their expected times. */
public fun choosableTargets(
    candidates: List<CandidateTarget>,
    excluded: Set<TargetId>,
): List<CandidateTarget> {
    val untried = candidates.filter { it.id !in excluded && it.admitted > 0 }
    return untried.filter { it.available }.ifEmpty { untried }
}

/** The targets that [chooseTarget] may choose, depending on its random source; the one expected to be fastest first. */
public fun possibleChoices(
    candidates: List<CandidateTarget>,
    excluded: Set<TargetId>,
): List<CandidateTarget> {
    val pool = choosableTargets(candidates, excluded).sortedBy { expectedMillis(it) }
    val fastest = pool.firstOrNull() ?: return emptyList()
    return listOf(fastest) + pool.drop(1).filter { expectedMillis(it) < expectedMillis(fastest) * (1 + TIE_SPREAD) }
}

/** Expected time in milliseconds of an additional request at [target]. */
public fun expectedMillis(target: CandidateTarget): Double {
    val latencyMillis = if (target.latencyMillis > 0) target.latencyMillis.toDouble() else UNKNOWN_LATENCY_MILLIS
    val slowdown = target.slowdown?.over(latencyMillis) ?: 1.0
    val remoteMillis = if (target.local) 0.0 else REMOTE_MILLIS
    return latencyMillis * slowdown * waitFactor(target.running, target.slots) + remoteMillis
}

/** How many times longer a request takes at a target with [slots] slots beside [running] other requests. */
internal fun waitFactor(
    running: Int,
    slots: Int,
): Double {
    val occupancy = running.toDouble() / maxOf(1, slots)
    return if (occupancy < 1) 1 + occupancy * occupancy else 1 + occupancy * FULL_FACTOR
}

/** Latency assumed before a target's first response, lower than usual latencies so that each target is tried. */
private const val UNKNOWN_LATENCY_MILLIS = 10.0

/** Cost of another data centre: the round trip and an allowance for the price of the traffic, in milliseconds. */
private const val REMOTE_MILLIS = 4.0

/** When all slots are taken, a request waits for about one more run per full round of requests ahead of it. */
private const val FULL_FACTOR = 2.0

/** Random spread of the expected times, so that several processes don't choose the same one of equal targets. */
private const val TIE_SPREAD = 0.1
