package bergamotwall.gateway.members

import bergamotwall.decisions.batches.OwnerCandidate
import bergamotwall.decisions.batches.assignOwners
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.model.NodeId

/**
 * The assigned owner of [key]: the process that runs the batches of that route. Chosen by [assignOwners] among the
 * ready entries (processes that callers connect to), or among all ready processes if no entry is ready; null if none
 * is. [routes] are the other routes for batches.
 *
 * A single process for all batches of a route reuses its connections to their targets and knows the whole load that
 * they put on these. If the batches were spread over the entries, each entry in turn would open as many connections.
 */
public fun assignedOwnerOf(
    members: MemberList,
    key: String,
    routes: Collection<String> = emptyList(),
): GatewayMember? {
    val ready = members.members.values.filter { it.ready }
    val pool = ready.filter { it.frontAddress != null }.ifEmpty { ready }
    return assignOwners(routes + key, pool.map { OwnerCandidate(it.id, it.cores) })[key]?.let { members.members[it] }
}

/** The assigned owner of the route for batches called [route], as far as this process knows members and routes. */
internal fun assignedOwnerOf(
    gatewayState: GatewayState,
    route: String,
): GatewayMember? = assignedOwnerOf(gatewayState.members.read(), route, batchRoutesOf(gatewayState.routes.read()))

/** Whether process [node] is the assigned owner of a route for batches, and so will run its batches. */
internal fun isAssignedOwner(
    node: NodeId,
    gatewayState: GatewayState,
): Boolean = batchRoutesOf(gatewayState.routes.read()).any { assignedOwnerOf(gatewayState, it)?.id == node }

/** Names of the routes for batches in [table]. */
internal fun batchRoutesOf(table: RouteTable): List<String> =
    table.routes.filter { it.kind == RouteKind.BATCH }.map { it.name }
