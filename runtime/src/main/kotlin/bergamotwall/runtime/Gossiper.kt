package bergamotwall.runtime

import bergamotwall.decisions.membership.Membership
import bergamotwall.model.Gossip
import bergamotwall.model.Member
import bergamotwall.model.MemberState

/** Applies gossip from peers to the fleet state and builds the gossip to send. Confined to [MembershipLoop]. */
internal class Gossiper(
    private val membership: Membership,
    private val dependencies: MembershipLoopDependencies,
) {
    /** Applies [gossip] that came from [from]. */
    fun receive(
        from: Member,
        gossip: Gossip,
    ) {
        membership.messageReceived(from, gossip.members, dependencies.clock.monotonicMillis())
        dependencies.replicator.adoptIfNewer(gossip.published)
        if (gossip.crashes.isNotEmpty()) {
            dependencies.fleetState.crashes.update { known ->
                (gossip.crashes + known).distinctBy { it.fingerprint to it.targets }.take(MAX_CRASHES)
            }
        }
        publishMembers()
    }

    /** Gossip to send with the next probe or acknowledgement. */
    fun outgoing(): Gossip =
        Gossip(
            members = membership.piggyback(),
            crashes =
            dependencies.fleetState.crashes
                .read()
                .filter { it.expiresAtMillis > dependencies.clock.wallMillis() }
                .take(MAX_CRASHES),
            configuration = dependencies.fleetState.configuration.read().revision,
            vmList = dependencies.fleetState.vmList.read().revision,
            published = dependencies.fleetState.published.read().list(),
        )

    /** Updates the members in the fleet state and records each change of a member's state in the journal. */
    fun publishMembers() {
        val before = dependencies.fleetState.members.read().associate { it.id to it.state }
        val view = membership.view()
        dependencies.fleetState.members.update { view }
        view.filter { before[it.id] != it.state }.forEach { recordChange(it, before[it.id]) }
    }

    private fun recordChange(
        member: Member,
        before: MemberState?,
    ) {
        val decision =
            Decision("member/${member.id.value}", "seen as ${member.state}", "probe or gossip", "was $before")
        dependencies.journal.record(decision)
    }

    private companion object {
        private const val MAX_CRASHES = 16
    }
}
