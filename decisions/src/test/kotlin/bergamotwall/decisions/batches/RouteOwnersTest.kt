package bergamotwall.decisions.batches

import bergamotwall.decisions.ownerOf
import bergamotwall.model.NodeId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan

internal class RouteOwnersTest {
    @ParameterizedTest(name = "{0} routes among VMs of {1} cores: owners of {2} cores, {3} routes each at most")
    @CsvSource(
        "2, 0.36 0.36 1.5 0.75 1.5, 1.5, 1",
        "3, 0.36 1.5 1.2 0.75, 1.2, 2",
        "4, 0.75 0.75 0.75 0.75 0.75 0.75, 0.75, 1",
        "5, 1.5 0.36, 1.5, 5",
        "1, 0.36, 0.36, 1",
    )
    fun `owners are large VMs, and none has two routes while another has none`(
        routes: Int,
        cores: String,
        smallest: Double,
        most: Int,
    ) {
        val candidates = cores.split(' ').mapIndexed { i, c -> OwnerCandidate(NodeId("n$i"), c.toDouble()) }
        val owners = assignOwners((1..routes).map { "route$it" }, candidates)
        expectThat(owners.keys).hasSize(routes)
        expectThat(owners.values.toSet().map { id -> candidates.first { it.id == id }.cores })
            .all { isGreaterThanOrEqualTo(smallest) }
        expectThat(owners.values.groupingBy { it }.eachCount().values.max()).isEqualTo(most)
    }

    @Test
    fun `no candidate, no owner`() {
        expectThat(assignOwners(listOf("r"), emptyList())).isEqualTo(emptyMap())
    }

    @Test
    fun `the loss of a VM that owns nothing changes nothing`() {
        val candidates = List(20) { OwnerCandidate(NodeId("n$it"), 1.0) }
        val routes = List(5) { "route$it" }
        val before = assignOwners(routes, candidates)
        candidates.filter { it.id !in before.values }.forEach { lost ->
            expectThat(assignOwners(routes, candidates - lost)).isEqualTo(before)
        }
        val owner = before.getValue(routes.last())
        val after = assignOwners(routes, candidates.filter { it.id != owner })
        expectThat(routes.count { before[it] != after[it] }).isLessThan(routes.size)
    }

    /**
     * Replays the load pattern: two batches of 168 items arrive at once at a fleet of 80 VMs, and an owner can follow a
     * number of streams that is proportional to its cores.
     */
    @Test
    fun `a wave of batches ends several times earlier than with owners chosen regardless of size`() {
        val sizes = listOf(0.36, 0.36, 0.5, 0.75, 1.0, 1.5)
        val candidates = List(80) { OwnerCandidate(NodeId("entry$it"), sizes[it % sizes.size]) }
        val waves = List(100) { wave -> listOf("wide$wave", "deep$wave") }
        val bySize = waves.map { endSeconds(assignOwners(it, candidates), candidates) }.sorted()
        val ids = candidates.map { it.id }
        val regardless = waves.map { wave -> endSeconds(wave.associateWith { ownerOf(it, ids)!! }, candidates) }
        expectThat(bySize[bySize.size * 9 / 10] * 3).isLessThan(regardless.sorted()[regardless.size * 9 / 10])
    }

    private fun endSeconds(
        owners: Map<String, NodeId>,
        candidates: List<OwnerCandidate>,
    ): Double =
        owners.values.groupingBy { it }.eachCount().maxOf { (owner, batches) ->
            batches * ITEMS * CORE_SECONDS_PER_ITEM / candidates.first { it.id == owner }.cores
        }

    private companion object {
        private const val ITEMS = 168

        /** What an owner spends on one stream of some thirty events. */
        private const val CORE_SECONDS_PER_ITEM = 0.02
    }
}
