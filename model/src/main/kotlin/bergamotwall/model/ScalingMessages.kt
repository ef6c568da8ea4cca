package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Demand at the process [node], for the leader that orders targets; replaces what the process reported before. The
 * response is [Done] or [PeerRefusal]. Services without work are left out.
 */
@Serializable
@SerialName("sd")
public data class ScalingDemand(
    @SerialName("n") val node: NodeId,
    @SerialName("s") val services: List<ServiceDemand>,
    /** Whether another process has passed the message on to the leader. */
    @SerialName("r") val relayed: Boolean = false,
) : PeerMessage

/**
 * Demand of the targets of [service] at one process. Batch `i` has `itemCounts[i]` items whose text is not complete,
 * due in `itemDueMillis[i]`, or without a due time if that is negative.
 */
@Serializable
public data class ServiceDemand(
    @SerialName("s") val service: ServiceName,
    /** Requests at targets. */
    @SerialName("r") val runningRequests: Int = 0,
    /** Requests that could not be sent in the last second, as no target was free. */
    @SerialName("f") val refusedPerSecond: Int = 0,
    /** How long requests take at targets; 0 if not known. */
    @SerialName("q") val requestMillis: Long = 0,
    /** How long items take at targets; 0 if not known. */
    @SerialName("i") val itemMillis: Long = 0,
    @SerialName("c") val itemCounts: List<Int> = emptyList(),
    @SerialName("d") val itemDueMillis: List<Long> = emptyList(),
)
