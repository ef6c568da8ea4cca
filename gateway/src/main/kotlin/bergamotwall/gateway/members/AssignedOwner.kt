package bergamotwall.gateway.members

import bergamotwall.decisions.ownerOf
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.model.NodeId

/**
 * The assigned owner of [route]: the process that runs its batches. Chosen by rendezvous hashing among the ready
 * entries (processes that callers connect to), or among all ready processes if no entry is ready; null if none is.
 *
 * A single process for all batches of a route reuses its connections to their targets and knows the whole load that
 * they put on these. If the batches were spread over the entries, each entry in turn would open as many connections.
 */
public fun assignedOwnerOf(
    members: MemberList,
    route: String,
): GatewayMember? {
    val ready = members.members.values.filter { it.ready }
    val pool = ready.filter { it.frontAddress != null }.ifEmpty { ready }
    return ownerOf(route, pool.map { it.id })?.let { members.members[it] }
}

/** Whether process [node] is the assigned owner of a route for batches, and so will run its batches. */
internal fun isAssignedOwner(
    node: NodeId,
    gatewayState: GatewayState,
): Boolean {
    val members = gatewayState.members.read()
    val routes = gatewayState.routes.read().routes.filter { it.kind == RouteKind.BATCH }
    return routes.any { assignedOwnerOf(members, it.name)?.id == node }
}
