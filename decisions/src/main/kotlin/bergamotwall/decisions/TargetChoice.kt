package bergamotwall.decisions

import bergamotwall.model.TargetId
import kotlin.random.Random

/**
 * Chooses the target of a short request: the one where it is expected to end first.
 *
 * Answers the pattern of short requests over few targets of unlike speed, of which one may have turned slow: the
 * expected time is the target's smoothed latency times its occupancy, plus the way to another data centre. Targets
 * that back off are used only if no other is left. [excluded] were tried before.
 */
public fun chooseTarget(
    candidates: List<CandidateTarget>,
    excluded: Set<TargetId>,
    random: Random,
): CandidateTarget? {
    val fresh = candidates.filter { it.id !in excluded }
    val pool = fresh.filter { it.open }.ifEmpty { fresh }
    return pool.minByOrNull { expectedMillis(it) * (1 + random.nextDouble() * TIE_SPREAD) }
}

/** Expected time in milliseconds that a request more takes at [target]. */
internal fun expectedMillis(target: CandidateTarget): Double {
    val latencyMillis = if (target.latencyMillis > 0) target.latencyMillis.toDouble() else UNKNOWN_LATENCY_MILLIS
    val occupancy = target.running.toDouble() / maxOf(1, target.slots)
    val waitFactor = if (occupancy < 1) 1 + occupancy * occupancy else 1 + occupancy * FULL_FACTOR
    return latencyMillis * waitFactor + if (target.local) 0.0 else REMOTE_MILLIS
}

/** Latency assumed before a target's first answer: below usual ones, so that each target is tried. */
private const val UNKNOWN_LATENCY_MILLIS = 10.0

/** A round trip to another data centre, and the price of its bytes, in milliseconds. */
private const val REMOTE_MILLIS = 4.0

/** A request that finds all slots taken waits for about one more run in each full round. */
private const val FULL_FACTOR = 2.0

/** Share by which equal targets are told apart, so that several processes don't choose the same one. */
private const val TIE_SPREAD = 0.1
