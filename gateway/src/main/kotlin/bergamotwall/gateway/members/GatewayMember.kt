package bergamotwall.gateway.members

import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import kotlinx.serialization.Serializable

/**
 * Registration of a gateway process, stored under a lease. [frontAddress] is where callers connect to it, null if they
 * can't; [relayAddress] is where peers have requests to targets relayed, null if it does not relay; [ready] is false
 * while it starts, shuts down or is evacuated. Each restart has a higher [incarnation]. [cores] is the processor share
 * of its VM.
 */
@Serializable
public data class GatewayMember(
    val id: NodeId,
    val incarnation: Long,
    val dataCentre: DataCentre,
    val peerAddress: String,
    val frontAddress: String? = null,
    val ready: Boolean = false,
    val relayAddress: String? = null,
    val cores: Double = 1.0,
)
