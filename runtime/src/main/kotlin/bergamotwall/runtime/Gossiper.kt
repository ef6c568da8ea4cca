package bergamotwall.runtime

import bergamotwall.decisions.Membership
import bergamotwall.model.Gossip
import bergamotwall.model.Member
import bergamotwall.model.MemberState

/** Takes news from peers to the blackboard and makes the news to send. Confined to the member loop. */
internal class Gossiper(
    private val membership: Membership,
    private val parts: MemberLoopParts,
) {
    fun learn(
        from: Member,
        gossip: Gossip,
    ) {
        membership.heardFrom(from, gossip.members, parts.clock.monotonicMillis())
        parts.keeper.offer(gossip.published)
        if (gossip.crashes.isNotEmpty()) {
            parts.board.crashes.update { known ->
                (gossip.crashes + known).distinctBy { it.fingerprint to it.targets }.take(MAX_CRASHES)
            }
        }
        publish()
    }

    fun news(): Gossip =
        Gossip(
            members = membership.piggyback(),
            crashes = parts.board.crashes.read().filter { it.expiresAtMillis > parts.clock.wallMillis() }.take(
                MAX_CRASHES
            ),
            configuration = parts.board.configuration.read().revision,
            vmList = parts.board.vmList.read().revision,
            published = parts.board.published.read().list(),
        )

    fun publish() {
        val before = parts.board.members.read().associate { it.id to it.state }
        val view = membership.view()
        parts.board.members.update { view }
        view.filter { before[it.id] != it.state }.forEach { report(it, before[it.id]) }
    }

    private fun report(
        member: Member,
        before: MemberState?,
    ) {
        val decision = Decision("member/${member.id.value}", "seen as ${member.state}", "probe or news", "was $before")
        parts.journal.record(decision)
    }

    private companion object {
        private const val MAX_CRASHES = 16
    }
}
