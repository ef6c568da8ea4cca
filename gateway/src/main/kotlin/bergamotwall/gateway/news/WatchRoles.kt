package bergamotwall.gateway.news

import bergamotwall.decisions.membership.FollowerCandidate
import bergamotwall.decisions.membership.followerOrder
import bergamotwall.decisions.membership.followersOf
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import org.tinylog.Logger

/** How this process learns of changes in the key-value service. */
internal sealed interface WatchRole {
    /** Watches the service for itself alone: the fleet is small, or no process of the data centre is ready. */
    data object Alone : WatchRole

    /** Watches the service for itself and for the others of its data centre. */
    data object Follower : WatchRole

    /**
     * Asks [followers], in this order, or [urgentFollowers] where it must learn of changes at once. That order is the
     * same at all readers, so that only one follower must make calls for them in a series of changes.
     */
    data class Reader(val followers: List<GatewayMember>, val urgentFollowers: List<GatewayMember>) : WatchRole
}

/** Determines the role of process [self] in [dataCentre] from the registered members. Thread-safe. */
internal class WatchRoles(
    private val self: NodeId,
    private val dataCentre: DataCentre,
    private val members: () -> MemberList,
    private val sharedFromMembers: Int,
) {
    @Volatile
    private var latest: Pair<MemberList, WatchRole> = MemberList() to WatchRole.Alone

    /** The role according to the members that are known now. */
    fun current(): WatchRole {
        val list = members()
        val (knownList, role) = latest
        if (knownList === list) return role
        val newRole = roleIn(list)
        latest = list to newRole
        if (newRole != role) logChange(newRole)
        return newRole
    }

    private fun roleIn(list: MemberList): WatchRole {
        if (list.members.size < sharedFromMembers) return WatchRole.Alone
        val ready = list.members.values.filter { it.ready && it.dataCentre == dataCentre }
        val followers = followersOf(ready.map { FollowerCandidate(it.id, it.cores) })
        return when {
            followers.isEmpty() -> WatchRole.Alone
            followers.any { it.id == self } -> WatchRole.Follower
            else ->
                WatchRole.Reader(
                    followerOrder(self, followers).mapNotNull { list.members[it] },
                    followers.mapNotNull { list.members[it.id] },
                )
        }
    }

    private fun logChange(role: WatchRole) {
        val followers = (role as? WatchRole.Reader)?.followers.orEmpty().joinToString(",") { it.id.value }
        Logger.info("event=watch_role role={} followers={}", role::class.simpleName?.lowercase(), followers)
    }
}
