package bergamotwall.decisions

import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/**
 * Which engines are to load version [named] of a model next.
 *
 * Answers the pattern of trainers that name versions as often as engines can load them, each step allowing the version
 * before the newest one: a version goes to [share] engines only, those that lag most, so that the engines of the
 * version before go on serving and lag first the next time. [given] are the engines that have or get the version
 * already; [free] is how many more may load at once.
 */
public fun planLoads(
    engines: List<EngineVersion>,
    named: WeightVersion,
    share: Int,
    given: Set<TargetId>,
    free: Int,
): List<TargetId> {
    val reached = engines.count { it.version >= named || it.id in given }
    return engines
        .filter { it.version < named && it.id !in given }
        .sortedWith(compareBy<EngineVersion> { it.version }.thenBy { it.id.value })
        .take(minOf(share - reached, free).coerceAtLeast(0))
        .map { it.id }
}
