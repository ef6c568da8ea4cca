package bergamotwall.decisions.placement

import bergamotwall.model.DataCentre
import kotlin.random.Random

/**
 * Chooses the cheapest of a few candidates: two sampled targets (the power of two choices; Mitzenmacher, 2001) and the
 * least loaded target that has the prompt's prefix in its cache.
 *
 * The cost of a choice does not grow with the number of targets, unless the filter rejects most of them.
 */
internal class ReplicaChoice(private val prefixes: PrefixMap, private val random: Random) {
    /** Best of the candidates that [allowed] accepts, or null if it accepts none of [targets]. */
    fun choose(
        targets: Targets,
        prefix: Long,
        dataCentre: DataCentre,
        allowed: (TargetState) -> Boolean,
    ): TargetState? {
        val holders = prefixes.holders(prefix)
        val cached = holders.mapNotNull { targets[it] }.filter(allowed).minByOrNull { it.pressure }
        val first = sample(targets, allowed)
        val second = if (first == null) null else sample(targets) { it !== first && allowed(it) }
        return listOfNotNull(cached, first, second).minByOrNull { cost(it, it === cached, dataCentre, targets) }
    }

    private fun sample(
        targets: Targets,
        allowed: (TargetState) -> Boolean,
    ): TargetState? {
        if (targets.size == 0) return null
        val sampled = generateSequence { targets.at(random.nextInt(targets.size)) }.take(SAMPLES)
        val start = random.nextInt(targets.size)
        val scanned = (0 until targets.size).asSequence().map { targets.at((start + it) % targets.size) }
        return (sampled + scanned).firstOrNull(allowed)
    }

    private fun cost(
        target: TargetState,
        cached: Boolean,
        dataCentre: DataCentre,
        targets: Targets,
    ): Double {
        val typicalMillis = maxOf(1.0, targets.typicalFirstTokenMillis)
        val slowness = maxOf(1.0, target.firstToken.value / typicalMillis)
        val affinity = if (cached) AFFINITY_BONUS else 0.0
        val distance = if (target.dataCentre == dataCentre) 0.0 else DISTANCE_COST
        return target.pressure * slowness + distance - affinity
    }

    private companion object {
        private const val SAMPLES = 4
        private const val AFFINITY_BONUS = 0.35
        private const val DISTANCE_COST = 0.05
    }
}
