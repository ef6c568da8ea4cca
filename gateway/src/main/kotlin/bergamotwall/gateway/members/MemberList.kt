package bergamotwall.gateway.members

import bergamotwall.model.NodeId

/** Registered members by id. */
public class MemberList(public val members: Map<NodeId, GatewayMember> = emptyMap()) {
    /** Member [id] if it is registered with [incarnation], else null. */
    public fun find(
        id: NodeId,
        incarnation: Long,
    ): GatewayMember? = members[id]?.takeIf { it.incarnation == incarnation }
}
