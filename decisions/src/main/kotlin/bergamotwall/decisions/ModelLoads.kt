package bergamotwall.decisions

import bergamotwall.model.ModelName
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/**
 * State of the roll-out of version [named] of [model] over [engines]. [loading] are those that are being moved to it.
 * [share] of them are to run it, and [usable] it or the version before.
 */
public data class ModelLoads(
    val model: ModelName,
    val named: WeightVersion,
    val engines: List<EngineVersion>,
    val loading: Set<TargetId>,
    val share: Int,
    val usable: Int,
) {
    /** Engines that can serve a step that allows the version before the newest. */
    internal val usableNow: Int
        get() = engines.count { it.version.value >= named.value - 1 || it.id in loading }

    /** Loads that are missing, beside those under way. */
    internal val missing: Int
        get() {
            val newest = engines.count { it.version >= named || it.id in loading }
            return maxOf(share - newest, usable - usableNow)
        }
}

/** Engine [target] is to load the named version of [model]. */
public data class PlannedLoad(val model: ModelName, val target: TargetId)
