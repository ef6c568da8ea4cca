package bergamotwall.decisions.membership

import bergamotwall.model.DataCentre
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import bergamotwall.model.NodeRole
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

/** Instances of [Membership] that exchange probes in virtual time, over a network that the test can partition. */
private class Network(size: Int, seed: Long) {
    private val random = Random(seed)
    private val nodes = List(size) { Membership(member(it), MembershipTiming(2_000, 600_000), Random(seed + it)) }
    private val blocked = HashSet<Set<Int>>()
    private val down = HashSet<Int>()
    private var nowMillis = 0L

    init {
        nodes.forEach { it.seed(listOf("h:0", "h:1")) }
    }

    fun partition(
        left: Set<Int>,
        right: Set<Int>,
    ) {
        left.forEach { l -> right.forEach { r -> blocked += setOf(l, r) } }
    }

    fun heal(): Unit = blocked.clear()

    fun kill(node: Int) {
        down += node
    }

    fun leave(node: Int): Unit = nodes[node].self.leave()

    fun run(
        periods: Int,
        lossPercent: Int = 0,
    ) = repeat(periods) {
        nowMillis += 500
        nodes.indices.filter { it !in down }.forEach { from ->
            nodes[from].tick(
                nowMillis
            ).filterIsInstance<MembershipAction.Probe>().forEach { probe(from, it, lossPercent) }
        }
    }

    fun view(by: Int): Map<Int, MemberState> =
        nodes[by].view().associate { it.id.value.toInt() to it.state }

    private fun probe(
        from: Int,
        action: MembershipAction.Probe,
        lossPercent: Int,
    ) {
        val to = action.peerAddress.substringAfter(':').toInt()
        if (reaches(from, to, lossPercent)) return exchange(from, to)
        val reachedIndirectly =
            nodes[from].directProbeFailed(action.peerAddress).filterIsInstance<MembershipAction.ProbeThrough>().any {
                val via = it.via.id.value.toInt()
                reaches(from, via, lossPercent) && reaches(via, to, lossPercent)
            }
        if (reachedIndirectly) {
            nodes[from].messageReceived(nodes[to].self.member, emptyList(), nowMillis)
        } else {
            nodes[from].unreachable(action.peerAddress, nowMillis)
        }
    }

    private fun exchange(
        from: Int,
        to: Int,
    ) {
        val newcomer = !nodes[to].knows(nodes[from].self.member.id)
        nodes[to].messageReceived(nodes[from].self.member, nodes[from].piggyback(), nowMillis)
        val updates = if (newcomer) nodes[to].view() else nodes[to].piggyback()
        nodes[from].messageReceived(nodes[to].self.member, updates, nowMillis)
    }

    private fun reaches(
        from: Int,
        to: Int,
        lossPercent: Int,
    ): Boolean = setOf(from, to) !in blocked && from !in down && to !in down && random.nextInt(100) >= lossPercent

    private fun member(i: Int): Member =
        Member(NodeId("$i"), NodeRole.ENTRY, DataCentre("dc"), "h:$i", "h:9$i", 1, MemberState.ALIVE)
}

internal class MembershipTest {
    @Test
    fun `all nodes discover each other from two seeds`() {
        val network = Network(12, seed = 1).apply { run(30) }
        expectThat((0..11).map { network.view(it) }).all { get { size }.isEqualTo(12) }
    }

    @Test
    fun `a dead node, and no other, is declared dead by all nodes`() {
        val network = Network(12, seed = 2).apply { run(30) }
        network.kill(5)
        network.run(60)
        expectThat((0..11).filter { it != 5 }.map { network.view(it) }).all {
            get { filterValues { s -> s == MemberState.DEAD }.keys }.isEqualTo(setOf(5))
        }
    }

    @Test
    fun `all nodes see that a node is leaving within ten probe periods`() {
        val network = Network(12, seed = 3).apply { run(30) }
        network.leave(4)
        network.run(10)
        expectThat((0..11).map { network.view(it)[4] }).all { isEqualTo(MemberState.LEAVING) }
    }

    @Test
    fun `a partition into halves heals without a restart`() {
        val network = Network(10, seed = 4).apply { run(30) }
        network.partition((0..4).toSet(), (5..9).toSet())
        network.run(60)
        expectThat(network.view(0)[7]).isEqualTo(MemberState.DEAD)
        network.heal()
        network.run(80)
        expectThat((0..9).map { network.view(it) }).all { get { values.all { s -> s == MemberState.ALIVE } }.isTrue() }
    }

    @Property(tries = 20, seed = "99")
    fun `lost probes do not leave live nodes declared dead`(
        @ForAll @IntRange(min = 0, max = 1_000) seed: Int,
        @ForAll @IntRange(min = 0, max = 20) lossPercent: Int,
    ) {
        val network = Network(8, seed.toLong()).apply { run(60, lossPercent) }
        network.run(80)
        expectThat((0..7).map { network.view(it) }).all { get { values.all { s -> s == MemberState.ALIVE } }.isTrue() }
    }
}
