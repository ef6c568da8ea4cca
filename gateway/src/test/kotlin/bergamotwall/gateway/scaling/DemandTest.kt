package bergamotwall.gateway.scaling

import bergamotwall.decisions.scaling.ScalingTerms
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.batches.WaitingItems
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.routes.ServiceShare
import bergamotwall.gateway.routes.TargetService
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.NodeId
import bergamotwall.model.ServiceName
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** Work is missing from the demand, is counted after its end, or its due time is wrong. */
internal class DemandTest {
    private var nowMillis = 0L
    private val clock =
        object : Clock {
            override fun monotonicMillis(): Long = nowMillis

            override fun wallMillis(): Long = nowMillis
        }
    private val state = GatewayState()
    private val work = WorkRecorder(clock, enabled = true)
    private var items = emptyList<WaitingItems>()
    private val store = MemoryKeyValueStore(clock)
    private val local =
        LocalDemand(
            ScalingDependencies(
                NodeId("n"),
                state,
                store,
                MemoryPeers(),
                { _, _, _, _ -> ScalingOutcome.REFUSED },
                clock,
                Random(1),
                Journal(NodeId("n"), clock),
                GatewayMetrics(),
                work,
                { items },
                { null },
            ),
        )

    init {
        val services = listOf("s", "t").map { TargetService(ServiceName(it), 1, scaling = ScalingTerms(1, 2, 0)) }
        state.routes.update { RouteTable(ConfigurationRevision(1), services = services + TargetService(OTHER, 1)) }
    }

    @Test
    fun `requests count until they end, those without an observed end until their deadline`() {
        val ended = work.sent(S, 0, 10_000)
        work.sent(S, 0, 5_000)
        work.sent(OTHER, 0, 5_000)
        repeat(6) { work.refused(S) }
        nowMillis = 2_000
        val demand = local.read().single()
        expectThat(demand.runningRequests to demand.refusedPerSecond).isEqualTo(2 to 3)
        ended.ended(completed = true)
        ended.ended(completed = true)
        expectThat(local.read().single().let { Triple(it.runningRequests, it.refusedPerSecond, it.requestMillis) })
            .isEqualTo(Triple(1, 0, 2_000))
        nowMillis = 6_001
        expectThat(local.read()).isEqualTo(emptyList())
    }

    @Test
    fun `items are divided by weight, many batches are merged, and due times pass`() {
        val shares = listOf(ServiceShare(S, 3), ServiceShare(ServiceName("t"), 1))
        items = (1..9).map { WaitingItems(shares, 4, it * 1_000L) } + WaitingItems(shares, 4, null)
        val demand = local.read().first { it.service == S }
        expectThat(demand.itemCounts).isEqualTo(List(7) { 3 } + 9)
        expectThat(demand.itemDueMillis).isEqualTo((1..8).map { it * 1_000L })
        val collected = CollectedDemand(clock)
        collected.receive(NodeId("n"), listOf(demand.copy(itemDueMillis = demand.itemDueMillis.dropLast(1) + -1)))
        nowMillis = 1_500
        expectThat(collected.load(S).items.map { it.dueInMillis })
            .isEqualTo(listOf(0L) + (1..6).map { it * 1_000L - 500 } + null)
    }

    private companion object {
        private val S = ServiceName("s")
        private val OTHER = ServiceName("other")
    }
}
