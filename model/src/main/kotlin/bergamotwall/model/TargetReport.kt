package bergamotwall.model

import kotlinx.serialization.Serializable

/**
 * State that an engine or service instance last reported. It lags behind the actual state.
 *
 * [bootId] changes with each start of the process. [cachedPrefixes] are the prefix hashes of the events up to
 * [cacheSequence]; a gap in the sequence means that events were lost.
 */
@Serializable
public data class TargetReport(
    val version: WeightVersion = WeightVersion(0),
    val swappingTo: WeightVersion? = null,
    val running: Int = 0,
    val slots: Int = 1,
    val leaving: Boolean = false,
    val bootId: String = "",
    val cachedPrefixes: List<Long> = emptyList(),
    val cacheSequence: Long = 0,
)

/** Idempotent order to an engine to serve exactly [version]; [fence] is the fencing token of the sending leader. */
@Serializable
public data class WeightOrder(val model: ModelName, val version: WeightVersion, val fence: FencingNumber)
