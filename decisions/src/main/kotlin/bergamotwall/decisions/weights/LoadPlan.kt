package bergamotwall.decisions.weights

import bergamotwall.model.TargetId

/**
 * Plans which engines load the newest version of which model next: at most [maxNewLoads] engines, none that is [busy].
 *
 * Trainers name new versions about as fast as engines can load them, and each training step also accepts the version
 * before the newest one. A version is therefore loaded by a share of the engines only, those with the oldest versions;
 * the engines with the previous version go on serving, and are the oldest ones when the next version comes. After an
 * outage, when all engines are further behind, the model with the smallest share of usable engines goes first, and is
 * loaded until enough of its engines are usable.
 */
public fun planLoads(
    models: List<ModelRolloutState>,
    busy: Set<TargetId>,
    maxNewLoads: Int,
): List<PlannedLoad> {
    val planned = ArrayList<PlannedLoad>()
    while (planned.size < maxNewLoads) {
        val unavailable = busy + planned.map { it.target }
        val states = models.map { state -> state.copy(loading = state.loading + planned.targetsOf(state)) }
        planned += nextLoad(states, unavailable) ?: break
    }
    return planned
}

private fun nextLoad(
    models: List<ModelRolloutState>,
    unavailable: Set<TargetId>,
): PlannedLoad? =
    models
        .filter { it.missing > 0 }
        .sortedBy { it.usableNow.toDouble() / maxOf(1, it.usable) }
        .firstNotNullOfOrNull { state ->
            state.engines
                .filter { it.version < state.namedVersion && it.id !in unavailable }
                .minWithOrNull(compareBy<EngineVersion> { it.version }.thenBy { it.id.value })
                ?.let { PlannedLoad(state.model, it.id) }
        }

private fun List<PlannedLoad>.targetsOf(state: ModelRolloutState): Set<TargetId> =
    filter { it.model == state.model }.mapTo(HashSet()) { it.target }
