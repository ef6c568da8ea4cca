package bergamotwall.decisions.weights

import bergamotwall.model.ModelName
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/**
 * State of the rollout to [engines] of [namedVersion], the newest version of [model] that a trainer named.
 *
 * [loading] are the engines that are loading it. [share] is the number of engines that should serve it, [usable] the
 * number of engines that should serve it or the version before it.
 */
public data class ModelRolloutState(
    val model: ModelName,
    val namedVersion: WeightVersion,
    val engines: List<EngineVersion>,
    val loading: Set<TargetId>,
    val share: Int,
    val usable: Int,
) {
    /** Number of engines that can serve a training step that also accepts the version before the newest one. */
    internal val usableNow: Int
        get() = engines.count { it.version.value >= namedVersion.value - 1 || it.id in loading }

    /** Number of loads that are needed in addition to those in progress. */
    internal val missing: Int
        get() {
            val newest = engines.count { it.version >= namedVersion || it.id in loading }
            return maxOf(share - newest, usable - usableNow)
        }
}

/** Engine [target] should load the newest version of [model]. */
public data class PlannedLoad(val model: ModelName, val target: TargetId)
