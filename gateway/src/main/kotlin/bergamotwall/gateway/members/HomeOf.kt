package bergamotwall.gateway.members

import bergamotwall.decisions.ownerOf

/**
 * The process that batches of [route] run at: chosen by rendezvous hashing among the entries that are ready, or among
 * all processes that are ready if no entry is; null if none is.
 *
 * One process for all batches of a route reuses the connections to their targets and sees all their load there. Batches
 * spread over the entries would open the same number of connections from each entry in turn.
 */
public fun homeOf(
    members: MemberList,
    route: String,
): GatewayMember? {
    val ready = members.members.values.filter { it.ready }
    val pool = ready.filter { it.frontAddress != null }.ifEmpty { ready }
    return ownerOf(route, pool.map { it.id })?.let { members.members[it] }
}
