package bergamotwall.decisions.placement

import bergamotwall.decisions.membership.entryAddresses
import bergamotwall.decisions.ownerOf
import bergamotwall.model.DataCentre
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import bergamotwall.model.NodeRole
import bergamotwall.model.TargetId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Entry addresses, owners of keys and shards. */
internal class RoutingTest {
    @ParameterizedTest
    @EnumSource(MemberState::class)
    fun `only entries that are alive are listed`(state: MemberState) {
        val members = listOf(member("a", state), member("b", MemberState.ALIVE))
        val listed = entryAddresses(members, null, "x").map { it.id.value }
        if (state == MemberState.ALIVE) expectThat(listed).contains("a") else expectThat(listed).doesNotContain("a")
    }

    @Test
    fun `entries of the caller's data centre come first, equal affinity gives equal order`() {
        val members = List(8) { member("n$it", MemberState.ALIVE, if (it < 4) "near" else "far") }
        val order = entryAddresses(members, DataCentre("near"), "trainer/a")
        expectThat(order.take(4).map { it.dataCentre.value }.toSet()).isEqualTo(setOf("near"))
        expectThat(entryAddresses(members.shuffled(), DataCentre("near"), "trainer/a")).isEqualTo(order)
    }

    @Test
    fun `the loss of a node moves only the keys that it owned`() {
        val nodes = List(9) { NodeId("n$it") }
        val keys = List(1_000) { "k$it" }
        val others = keys.filter { ownerOf(it, nodes) != NodeId("n3") }
        val moved = others.count { ownerOf(it, nodes) != ownerOf(it, nodes - NodeId("n3")) }
        expectThat(moved).isEqualTo(0)
        expectThat(keys.count { ownerOf(it, nodes) == NodeId("n3") }).isLessThan(180)
    }

    @Test
    fun `shards of 800 replicas stay below twice the intended size`() {
        val count = shardCount(800)
        val sizes = List(800) { shardOfTarget(TargetId("engine-$it"), count) }.groupingBy { it }.eachCount()
        expectThat(count).isEqualTo(13)
        expectThat(sizes.values.max()).isLessThan(2 * TARGETS_PER_SHARD)
    }

    private fun member(
        id: String,
        state: MemberState,
        dataCentre: String = "dc",
    ): Member = Member(NodeId(id), NodeRole.ENTRY, DataCentre(dataCentre), "p:1", "h:1", 1, state)
}
