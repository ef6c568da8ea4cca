package bergamotwall.gateway.targets

import bergamotwall.decisions.admission.LimitSenders
import bergamotwall.decisions.admission.RateShare
import bergamotwall.decisions.admission.guestShareOf
import bergamotwall.decisions.admission.rateShareOf
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.members.assignedOwnerOf
import bergamotwall.gateway.members.batchRoutesOf
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.model.NodeId
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import java.util.concurrent.ConcurrentHashMap

/** The parts that process [self] has of the request limits of targets. Thread-safe. */
internal class LimitShares(private val self: NodeId, private val gatewayState: GatewayState) {
    private class Cached(
        private val perSecond: Double,
        private val routes: RouteTable,
        private val members: MemberList,
        val share: RateShare,
    ) {
        fun isFor(
            otherPerSecond: Double,
            otherRoutes: RouteTable,
            otherMembers: MemberList,
        ): Boolean = perSecond == otherPerSecond && routes === otherRoutes && members === otherMembers
    }

    private val cache = ConcurrentHashMap<TargetId, Cached>()

    /** The part of [target]'s limit of [perSecond] requests a second for [purpose]. */
    fun of(
        target: Target,
        perSecond: Double,
        purpose: SendPurpose,
    ): RateShare {
        val share = shareOf(target, perSecond)
        return partFor(purpose, perSecond, share)
    }

    /** The same as [of], without the cache. */
    fun compute(
        target: Target,
        perSecond: Double,
        purpose: SendPurpose,
    ): RateShare {
        val senders = limitSendersOf(target.service, gatewayState.routes.read(), gatewayState.members.read())
        return partFor(purpose, perSecond, rateShareOf(target.id, perSecond, senders, self))
    }

    private fun partFor(
        purpose: SendPurpose,
        perSecond: Double,
        share: RateShare,
    ): RateShare = if (purpose == SendPurpose.REQUEST) share else guestShareOf(perSecond, share)

    private fun shareOf(
        target: Target,
        perSecond: Double,
    ): RateShare {
        val routes = gatewayState.routes.read()
        val members = gatewayState.members.read()
        cache[target.id]?.takeIf { it.isFor(perSecond, routes, members) }?.let { return it.share }
        val share = rateShareOf(target.id, perSecond, limitSendersOf(target.service, routes, members), self)
        cache.keys.removeIf { it !in gatewayState.targets.read().targets }
        cache[target.id] = Cached(perSecond, routes, members, share)
        return share
    }
}

/** The processes that send to the targets of [service]. */
internal fun limitSendersOf(
    service: ServiceName,
    routes: RouteTable,
    members: MemberList,
): LimitSenders {
    val (batchRoutes, otherRoutes) =
        routes.routes
            .filter { route -> route.shares.any { it.service == service } }
            .partition { it.kind == RouteKind.BATCH }
    val entries = members.members.values.filter { it.ready && it.frontAddress != null }.map { it.id }
    return LimitSenders(
        entries = if (otherRoutes.isEmpty()) emptySet() else entries.toSet(),
        owners = batchRoutes.mapNotNull { assignedOwnerOf(members, it.name, batchRoutesOf(routes))?.id }.toSet(),
    )
}
