package bergamotwall.decisions.membership

import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.random.Random

/** The other members, and the time at which each entered its current state. Not thread-safe. */
internal class MemberTable(private val timing: MembershipTiming, private val random: Random) {
    private val members = HashMap<NodeId, Member>()
    private val changedAtMillis = HashMap<NodeId, Long>()
    private val transmissions = HashMap<NodeId, Int>()

    val all: Collection<Member> get() = members.values

    operator fun get(id: NodeId): Member? = members[id]

    fun at(peerAddress: String): Member? = members.values.find { it.peerAddress == peerAddress }

    fun put(
        member: Member,
        nowMillis: Long,
    ) {
        members[member.id] = member
        changedAtMillis[member.id] = nowMillis
        transmissions[member.id] = 0
    }

    /** Adopts [received] if its incarnation is higher, or if it is the same and its state is worse. */
    fun merge(
        received: Member,
        nowMillis: Long,
    ) {
        val known = members[received.id]
        val newer = known == null || received.incarnation > known.incarnation
        val worse = known != null && received.incarnation == known.incarnation && received.state > known.state
        if (newer || worse) put(received, nowMillis)
    }

    /** Declares suspects dead after the suspicion time-out, and removes members that have been dead for long enough. */
    fun expire(nowMillis: Long) {
        val unresponsive = members.values.filter { it.state >= MemberState.SUSPECT }
        unresponsive.forEach { member ->
            val ageMillis = nowMillis - (changedAtMillis[member.id] ?: nowMillis)
            when {
                member.state == MemberState.SUSPECT && ageMillis >= timing.suspicionMillis ->
                    put(member.copy(state = MemberState.DEAD), nowMillis)
                member.state == MemberState.DEAD && ageMillis >= timing.forgetMillis -> remove(member.id)
            }
        }
    }

    /** Updates to piggyback: those sent least often first, and two random members, in case updates were lost. */
    fun piggyback(): List<Member> {
        val bound = ceil(TRANSMISSION_FACTOR * ln(members.size + 2.0)).toInt()
        val recent =
            transmissions.entries
                .filter { it.value < bound }
                .sortedBy { it.value }
                .take(timing.piggyback)
                .map { it.key }
        recent.forEach { transmissions.merge(it, 1, Int::plus) }
        val repair = if (members.isEmpty()) emptyList() else List(REPAIR_UPDATES) { members.values.random(random) }
        return (recent.mapNotNull { members[it] } + repair).distinct()
    }

    private fun remove(id: NodeId) {
        members.remove(id)
        changedAtMillis.remove(id)
        transmissions.remove(id)
    }

    private companion object {
        private const val TRANSMISSION_FACTOR = 3.0
        private const val REPAIR_UPDATES = 2
    }
}
