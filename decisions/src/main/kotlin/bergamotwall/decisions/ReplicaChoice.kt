package bergamotwall.decisions

import bergamotwall.model.DataCentre
import kotlin.random.Random

/**
 * Chooses among targets: the power of two choices (Mitzenmacher, 2001) joined by the holders of the prompt's prefix.
 *
 * The cost of a choice does not grow with the number of targets unless most of them are refused by the filter.
 */
internal class ReplicaChoice(private val prefixes: PrefixMap, private val random: Random) {
    /** Best of the sampled [targets] that [allowed] accepts, or null if it accepts none. */
    fun choose(
        targets: Targets,
        prefix: Long,
        dataCentre: DataCentre,
        allowed: (TargetState) -> Boolean,
    ): TargetState? {
        val holders = prefixes.holders(prefix)
        val affine = holders.mapNotNull { targets[it] }.filter(allowed).minByOrNull { it.pressure }
        val first = sample(targets, allowed)
        val second = if (first == null) null else sample(targets) { it !== first && allowed(it) }
        return listOfNotNull(affine, first, second).minByOrNull { cost(it, it === affine, dataCentre, targets) }
    }

    private fun sample(
        targets: Targets,
        allowed: (TargetState) -> Boolean,
    ): TargetState? {
        if (targets.size == 0) return null
        val sampled = generateSequence { targets.at(random.nextInt(targets.size)) }.take(TRIES)
        val start = random.nextInt(targets.size)
        val scanned = (0 until targets.size).asSequence().map { targets.at((start + it) % targets.size) }
        return (sampled + scanned).firstOrNull(allowed)
    }

    private fun cost(
        target: TargetState,
        affine: Boolean,
        dataCentre: DataCentre,
        targets: Targets,
    ): Double {
        val typicalMillis = maxOf(1.0, targets.typicalFirstTokenMillis)
        val slowness = maxOf(1.0, target.firstToken.value / typicalMillis)
        val affinity = if (affine) AFFINITY_BONUS else 0.0
        val distance = if (target.dataCentre == dataCentre) 0.0 else DISTANCE_COST
        return target.pressure * slowness + distance - affinity
    }

    private companion object {
        private const val TRIES = 4
        private const val AFFINITY_BONUS = 0.35
        private const val DISTANCE_COST = 0.05
    }
}
