package bergamotwall.decisions.membership

import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import kotlin.random.Random

/**
 * Membership of the processes of the fleet, after SWIM (Das, Gupta and Motivala, 2002): random round-robin probes,
 * indirect probes, suspicion with incarnation numbers, updates piggybacked on probes.
 *
 * Dead members and seeds without a response are still probed, one of them every fifth probe period, so that a network
 * partition heals without a restart. Not thread-safe; [view] returns immutable copies.
 */
public class Membership(self: Member, private val timing: MembershipTiming, private val random: Random) {
    private val table = MemberTable(timing, random)
    private val probeOrder = ArrayDeque<NodeId>()
    private var seeds: Set<String> = emptySet()
    private var ticks = 0L

    /** This process. */
    public val self: SelfMember = SelfMember(self)

    /** Sets the addresses to probe even if no member is known there, taken from the settings and the VM list. */
    public fun seed(peerAddresses: Collection<String>) {
        seeds = peerAddresses.filter { it != self.member.peerAddress }.toSet()
    }

    /** All known members, this process included. */
    public fun view(): List<Member> = table.all.toList() + self.member

    /** Whether [id] is a known member. A process that is not known yet is sent all members. */
    public fun knows(id: NodeId): Boolean = table[id] != null

    /** Updates to piggyback on a probe or a response. */
    public fun piggyback(): List<Member> = table.piggyback()

    /** Handles the end of a probe period; returns the next probes. */
    public fun tick(nowMillis: Long): List<MembershipAction> {
        ticks++
        table.expire(nowMillis)
        return listOfNotNull(nextProbe(), healingProbe())
    }

    /** Handles a probe or a response from [from], with [updates]: direct evidence that [from] is alive. */
    public fun messageReceived(
        from: Member,
        updates: List<Member>,
        nowMillis: Long,
    ) {
        val known = table[from.id]
        val refutes = known != null && known.state >= MemberState.SUSPECT && from.incarnation >= known.incarnation
        if (refutes) table.put(from, nowMillis) else table.merge(from, nowMillis)
        updates.forEach { if (it.id == self.member.id) self.refute(it) else table.merge(it, nowMillis) }
    }

    /** Handles a direct probe of [peerAddress] that got no response: other members are asked to probe it. */
    public fun directProbeFailed(peerAddress: String): List<MembershipAction> {
        val target = table.at(peerAddress)?.takeIf { it.state != MemberState.DEAD }
        val helpers = table.all.filter { it.state <= MemberState.LEAVING && it != target }
        return helpers
            .shuffled(random)
            .take(timing.indirectProbes)
            .mapNotNull { helper -> target?.let { MembershipAction.ProbeThrough(helper, it) } }
    }

    /** Marks the process at [peerAddress], which neither direct nor indirect probes reached, as suspect. */
    public fun unreachable(
        peerAddress: String,
        nowMillis: Long,
    ) {
        val target = table.at(peerAddress)?.takeIf { it.state < MemberState.SUSPECT }
        target?.let { table.put(it.copy(state = MemberState.SUSPECT), nowMillis) }
    }

    private fun nextProbe(): MembershipAction? {
        if (probeOrder.isEmpty()) {
            probeOrder += table.all.filter { it.state != MemberState.DEAD }.map { it.id }.shuffled(random)
        }
        val next = generateSequence { probeOrder.removeFirstOrNull() }.mapNotNull { table[it] }.firstOrNull()
        return next?.let { MembershipAction.Probe(it.peerAddress) }
    }

    private fun healingProbe(): MembershipAction? {
        val live = table.all.filter { it.state != MemberState.DEAD }.map { it.peerAddress }.toSet()
        val unresponsive = (seeds + table.all.map { it.peerAddress }).filter { it !in live }
        val due = live.isEmpty() || ticks % HEALING_PERIOD_TICKS == 0L
        return if (due && unresponsive.isNotEmpty()) MembershipAction.Probe(unresponsive.random(random)) else null
    }

    private companion object {
        private const val HEALING_PERIOD_TICKS = 5L
    }
}
