package bergamotwall.gateway.members

import bergamotwall.model.NodeId

/** Registered gateway processes by id. */
public class MemberList(public val members: Map<NodeId, GatewayMember> = emptyMap()) {
    /** The member [id] if it is registered with exactly this [incarnation], otherwise null. */
    public fun find(
        id: NodeId,
        incarnation: Long,
    ): GatewayMember? = members[id]?.takeIf { it.incarnation == incarnation }
}
