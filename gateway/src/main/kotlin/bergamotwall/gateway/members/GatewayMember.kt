package bergamotwall.gateway.members

import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import kotlinx.serialization.Serializable

/**
 * One process of the gateway as it registers itself under a lease. [frontAddress] is where callers reach it, null if
 * they don't; [ready] is false while it starts or leaves. A restart has a higher [incarnation].
 */
@Serializable
public data class GatewayMember(
    val id: NodeId,
    val incarnation: Long,
    val dataCentre: DataCentre,
    val peerAddress: String,
    val frontAddress: String? = null,
    val ready: Boolean = false,
)
