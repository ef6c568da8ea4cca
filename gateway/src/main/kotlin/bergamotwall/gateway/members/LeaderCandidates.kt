package bergamotwall.gateway.members

import bergamotwall.model.NodeId

/** The processes that may become the leader of a task, if the fleet has [sharedFromMembers] members or more. */
internal fun leaderCandidates(
    list: MemberList,
    sharedFromMembers: Int,
): Collection<NodeId> =
    if (list.members.size < sharedFromMembers) {
        emptyList()
    } else {
        list.members.values.filter { it.ready && it.frontAddress != null }.map { it.id }
    }
