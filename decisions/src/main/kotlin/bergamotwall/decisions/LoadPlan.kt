package bergamotwall.decisions

import bergamotwall.model.TargetId

/**
 * Which engines are to load which model's newest version next; at most [free] of them, none that is [busy].
 *
 * Answers the pattern of trainers that name versions about as fast as engines can load them, each step allowing the
 * version before the newest one. A version goes to a share of the engines, those that lag most, so that the engines of
 * the version before go on serving and lag first the next time. After an outage, when all lag by more, the model with
 * the smallest part of its engines usable goes first, and loads until enough of them are.
 */
public fun planLoads(
    models: List<ModelLoads>,
    busy: Set<TargetId>,
    free: Int,
): List<PlannedLoad> {
    val planned = ArrayList<PlannedLoad>()
    while (planned.size < free) {
        val taken = busy + planned.map { it.target }
        val states = models.map { state -> state.copy(loading = state.loading + planned.targetsOf(state)) }
        planned += nextLoad(states, taken) ?: break
    }
    return planned
}

private fun nextLoad(
    models: List<ModelLoads>,
    taken: Set<TargetId>,
): PlannedLoad? =
    models
        .filter { it.missing > 0 }
        .sortedBy { it.usableNow.toDouble() / maxOf(1, it.usable) }
        .firstNotNullOfOrNull { state ->
            state.engines
                .filter { it.version < state.named && it.id !in taken }
                .minWithOrNull(compareBy<EngineVersion> { it.version }.thenBy { it.id.value })
                ?.let { PlannedLoad(state.model, it.id) }
        }

private fun List<PlannedLoad>.targetsOf(state: ModelLoads): Set<TargetId> =
    filter { it.model == state.model }.mapTo(HashSet()) { it.target }
