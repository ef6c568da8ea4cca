package bergamotwall.decisions

import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import kotlin.random.Random

/**
 * Membership between the processes of the fleet, after SWIM (Das, Gupta and Motivala, 2002): random round-robin
 * probes, indirect probes, suspicion with incarnation numbers, updates piggy-backed on probes.
 *
 * Dead members and unanswered seeds are still probed now and then, so that a split heals without a restart.
 * Not thread-safe; [view] returns immutable copies.
 */
public class Membership(self: Member, private val timing: MembershipTiming, private val random: Random) {
    private val table = MemberTable(timing, random)
    private val order = ArrayDeque<NodeId>()
    private var seeds: Set<String> = emptySet()
    private var ticks = 0L

    /** This process. */
    public val self: SelfMember = SelfMember(self)

    /** Addresses to probe even if no member is known there; taken from settings and the VM list. */
    public fun seed(peerAddresses: Collection<String>) {
        seeds = peerAddresses.filter { it != self.member.peerAddress }.toSet()
    }

    /** All known members, this process included. */
    public fun view(): List<Member> = table.all.toList() + self.member

    /** Whether [id] is known; a newcomer is answered with all members. */
    public fun knows(id: NodeId): Boolean = table[id] != null

    /** Updates to piggy-back on a probe or an answer. */
    public fun piggyback(): List<Member> = table.piggyback()

    /** One probe period has passed. */
    public fun tick(nowMillis: Long): List<MembershipAction> {
        ticks++
        table.expire(nowMillis)
        return listOfNotNull(nextProbe(), healingProbe())
    }

    /** [from] answered or probed this process, and told [news]: direct evidence that it lives. */
    public fun heardFrom(
        from: Member,
        news: List<Member>,
        nowMillis: Long,
    ) {
        val known = table[from.id]
        val refutes = known != null && known.state >= MemberState.SUSPECT && from.incarnation >= known.incarnation
        if (refutes) table.put(from, nowMillis) else table.merge(from, nowMillis)
        news.forEach { if (it.id == self.member.id) self.refute(it) else table.merge(it, nowMillis) }
    }

    /** The process at [peerAddress] did not answer a direct probe: others are asked to try. */
    public fun directProbeFailed(peerAddress: String): List<MembershipAction> {
        val target = table.at(peerAddress)?.takeIf { it.state != MemberState.DEAD }
        val helpers = table.all.filter { it.state <= MemberState.LEAVING && it != target }
        return helpers
            .shuffled(random)
            .take(timing.indirectProbes)
            .mapNotNull { helper -> target?.let { MembershipAction.ProbeThrough(helper, it) } }
    }

    /** Neither direct nor indirect probes reached the process at [peerAddress]. */
    public fun unreachable(
        peerAddress: String,
        nowMillis: Long,
    ) {
        val target = table.at(peerAddress)?.takeIf { it.state < MemberState.SUSPECT }
        target?.let { table.put(it.copy(state = MemberState.SUSPECT), nowMillis) }
    }

    private fun nextProbe(): MembershipAction? {
        if (order.isEmpty()) {
            order += table.all.filter { it.state != MemberState.DEAD }.map { it.id }.shuffled(random)
        }
        val next = generateSequence { order.removeFirstOrNull() }.mapNotNull { table[it] }.firstOrNull()
        return next?.let { MembershipAction.Probe(it.peerAddress) }
    }

    private fun healingProbe(): MembershipAction? {
        val live = table.all.filter { it.state != MemberState.DEAD }.map { it.peerAddress }.toSet()
        val silent = (seeds + table.all.map { it.peerAddress }).filter { it !in live }
        val due = live.isEmpty() || ticks % HEALING_PERIOD == 0L
        return if (due && silent.isNotEmpty()) MembershipAction.Probe(silent.random(random)) else null
    }

    private companion object {
        private const val HEALING_PERIOD = 5L
    }
}
