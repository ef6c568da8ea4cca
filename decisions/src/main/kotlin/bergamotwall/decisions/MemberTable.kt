package bergamotwall.decisions

import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.random.Random

/** The other members and since when each is seen as it is. Not thread-safe. */
internal class MemberTable(private val timing: MembershipTiming, private val random: Random) {
    private val members = HashMap<NodeId, Member>()
    private val since = HashMap<NodeId, Long>()
    private val transmissions = HashMap<NodeId, Int>()

    val all: Collection<Member> get() = members.values

    operator fun get(id: NodeId): Member? = members[id]

    fun at(peerAddress: String): Member? = members.values.find { it.peerAddress == peerAddress }

    fun put(
        member: Member,
        nowMillis: Long,
    ) {
        members[member.id] = member
        since[member.id] = nowMillis
        transmissions[member.id] = 0
    }

    /** Takes [heard] over if it is newer, or as new and worse. */
    fun merge(
        heard: Member,
        nowMillis: Long,
    ) {
        val known = members[heard.id]
        val newer = known == null || heard.incarnation > known.incarnation
        val worse = known != null && heard.incarnation == known.incarnation && heard.state > known.state
        if (newer || worse) put(heard, nowMillis)
    }

    /** Suspects become dead, and the long dead are forgotten. */
    fun expire(nowMillis: Long) {
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

    /** Updates to piggy-back: those sent least often first, and two members by chance to repair what was missed. */
    fun piggyback(): List<Member> {
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

    private fun forget(id: NodeId) {
        members.remove(id)
        since.remove(id)
        transmissions.remove(id)
    }

    private companion object {
        private const val TRANSMISSION_FACTOR = 3.0
        private const val REPAIRS = 2
    }
}
