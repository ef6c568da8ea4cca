package bergamotwall.decisions

import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.random.Random

/** Timing of [Membership]. */
public data class MembershipTiming(
    val suspicionMillis: Long,
    val forgetMillis: Long,
    val indirectProbes: Int = 3,
    val piggyback: Int = 8,
)

/** What the shell is to do for the membership. */
public sealed interface MembershipAction {
    /** Probe the process at [peerAddress]. */
    public data class Probe(val peerAddress: String) : MembershipAction

    /** Ask [via] to probe [target]. */
    public data class ProbeThrough(val via: Member, val target: Member) : MembershipAction
}

/**
 * Membership between the processes of the fleet, after SWIM (Das, Gupta and Motivala, 2002): random round-robin
 * probes, indirect probes, suspicion with incarnation numbers, updates piggy-backed on probes.
 *
 * Dead members and unanswered seeds are still probed now and then, so that a split heals without a restart.
 * Not thread-safe; [view] returns immutable copies.
 */
public class Membership(self: Member, private val timing: MembershipTiming, private val random: Random) {
    private val members = HashMap<NodeId, Member>()
    private val since = HashMap<NodeId, Long>()
    private val transmissions = HashMap<NodeId, Int>()
    private val order = ArrayDeque<NodeId>()
    private var seeds: Set<String> = emptySet()
    private var ticks = 0L

    /** This process as it announces itself. */
    public var self: Member = self
        private set

    /** Addresses to probe even if no member is known there; taken from settings and the VM list. */
    public fun seed(peerAddresses: Collection<String>) {
        seeds = peerAddresses.filter { it != self.peerAddress }.toSet()
    }

    /** All known members, this process included. */
    public fun view(): List<Member> = members.values.toList() + self

    /** Announces that this process takes no new work. */
    public fun leave() {
        if (self.state == MemberState.LEAVING) return
        self = self.copy(state = MemberState.LEAVING, incarnation = self.incarnation + 1)
    }

    /** Announces that this process takes new work again. */
    public fun rejoin() {
        if (self.state == MemberState.ALIVE) return
        self = self.copy(state = MemberState.ALIVE, incarnation = self.incarnation + 1)
    }

    /** One probe period has passed. */
    public fun tick(nowMillis: Long): List<MembershipAction> {
        ticks++
        expire(nowMillis)
        return listOfNotNull(nextProbe(), healingProbe())
    }

    /** [from] answered or probed this process: direct evidence that it lives. */
    public fun heardFrom(
        from: Member,
        nowMillis: Long,
    ) {
        val known = members[from.id]
        val refutes = known != null && known.state >= MemberState.SUSPECT && from.incarnation >= known.incarnation
        if (refutes) put(from, nowMillis) else merge(from, nowMillis)
    }

    /** News [heard] about others. */
    public fun heard(
        heard: List<Member>,
        nowMillis: Long,
    ): Unit = heard.forEach { merge(it, nowMillis) }

    /** The process at [peerAddress] did not answer a direct probe: others are asked to try. */
    public fun directProbeFailed(peerAddress: String): List<MembershipAction> {
        val target = members.values.find { it.peerAddress == peerAddress && it.state != MemberState.DEAD }
        val helpers = members.values.filter { it.state <= MemberState.LEAVING && it != target }
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
        val target = members.values.find { it.peerAddress == peerAddress } ?: return
        if (target.state < MemberState.SUSPECT) put(target.copy(state = MemberState.SUSPECT), nowMillis)
    }

    /** Updates to piggy-back: those sent least often first, and two members by chance to repair what was missed. */
    public fun piggyback(): List<Member> {
        val bound = ceil(TRANSMISSION_FACTOR * ln(members.size + 2.0)).toInt()
        val fresh =
            transmissions.entries
                .filter { it.value < bound }
                .sortedBy { it.value }
                .take(timing.piggyback)
                .map { it.key }
        fresh.forEach { transmissions.merge(it, 1, Int::plus) }
        val repair = if (members.isEmpty()) emptyList() else List(REPAIRS) { members.values.random(random) }
        return (fresh.mapNotNull { members[it] } + repair).distinct()
    }

    /** Whether [id] is known; a newcomer is answered with all members. */
    public fun knows(id: NodeId): Boolean = id in members

    private fun nextProbe(): MembershipAction? {
        if (order.isEmpty()) {
            order += members.values.filter { it.state != MemberState.DEAD }.map { it.id }.shuffled(random)
        }
        val next = generateSequence { order.removeFirstOrNull() }.mapNotNull { members[it] }.firstOrNull()
        return next?.let { MembershipAction.Probe(it.peerAddress) }
    }

    private fun healingProbe(): MembershipAction? {
        val live = members.values.filter { it.state != MemberState.DEAD }.map { it.peerAddress }.toSet()
        val silent = (seeds + members.values.map { it.peerAddress }).filter { it !in live }
        val due = live.isEmpty() || ticks % HEALING_PERIOD == 0L
        return if (due && silent.isNotEmpty()) MembershipAction.Probe(silent.random(random)) else null
    }

    private fun expire(nowMillis: Long) {
        val silent = members.values.filter { it.state >= MemberState.SUSPECT }
        silent.forEach { member ->
            val ageMillis = nowMillis - (since[member.id] ?: nowMillis)
            when {
                member.state == MemberState.SUSPECT && ageMillis >= timing.suspicionMillis ->
                    put(member.copy(state = MemberState.DEAD), nowMillis)
                member.state == MemberState.DEAD && ageMillis >= timing.forgetMillis -> forget(member.id)
            }
        }
    }

    private fun merge(
        heard: Member,
        nowMillis: Long,
    ) {
        if (heard.id == self.id) return refute(heard)
        val known = members[heard.id]
        val newer = known == null || heard.incarnation > known.incarnation
        val stronger = known != null && heard.incarnation == known.incarnation && heard.state > known.state
        if (newer || stronger) put(heard, nowMillis)
    }

    private fun refute(heard: Member) {
        val overruled = heard.incarnation > self.incarnation
        val slandered = heard.incarnation == self.incarnation && heard.state > self.state
        if (overruled || slandered) self = self.copy(incarnation = heard.incarnation + 1)
    }

    private fun put(
        member: Member,
        nowMillis: Long,
    ) {
        members[member.id] = member
        since[member.id] = nowMillis
        transmissions[member.id] = 0
    }

    private fun forget(id: NodeId) {
        members.remove(id)
        since.remove(id)
        transmissions.remove(id)
    }

    private companion object {
        private const val TRANSMISSION_FACTOR = 3.0
        private const val HEALING_PERIOD = 5L
        private const val REPAIRS = 2
    }
}
