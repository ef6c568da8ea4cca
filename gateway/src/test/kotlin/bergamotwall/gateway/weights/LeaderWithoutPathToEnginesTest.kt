package bergamotwall.gateway.weights

import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.routes.TargetService
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetList
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.DataCentre
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import bergamotwall.runtime.Leadership
import bergamotwall.runtime.LeadershipDependencies
import bergamotwall.runtime.LeadershipKeys
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo

/** The leader loses its paths to the engines; other processes, which could lead, keep theirs. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class LeaderWithoutPathToEnginesTest {
    @ParameterizedTest(name = "{0} of 6 engines respond")
    @CsvSource("0, false", "1, true", "5, true", "6, true")
    fun `it leads only while it reaches an engine`(
        responding: Int,
        leads: Boolean,
    ) = runTest {
        val clock = clock()
        val store = MemoryKeyValueStore(clock)
        rollout(NODE, store, clock, PartlySilentOrders(responding)).start(backgroundScope) { true }
        delay(PREDECESSOR_MILLIS + SETTINGS.abstainMillis / 2)
        expectThat(store.get(LEASE).get() != null).isEqualTo(leads)
        // It tries again, and needs some time to find out that nothing has changed.
        delay(SETTINGS.abstainMillis - SETTINGS.orderTimeoutMillis * 3 / 2)
        expectThat(store.get(LEASE).get() != null).isEqualTo(true)
    }

    @Test
    fun `a leader without paths resigns, and the next one sends orders at once`() =
        runTest {
            val clock = clock()
            val store = MemoryKeyValueStore(clock)
            val orders = PartlySilentOrders(ENGINES) { currentTime }
            var hasPaths = true
            rollout(NODE, store, clock, orders).start(backgroundScope, { hasPaths }) { true }
            delay(PREDECESSOR_MILLIS + 2 * SETTINGS.periodMillis)
            expectThat(orders.senders.toSet()).isEqualTo(setOf(NODE))
            hasPaths = false
            delay(2 * SETTINGS.pauseMillis)
            val lastOfFirst = orders.sentAtMillis
            val other = NodeId("other")
            rollout(other, store, clock, orders).start(backgroundScope) { true }
            delay(2 * SETTINGS.periodMillis)
            expectThat(orders.senders.toSet()).isEqualTo(setOf(NODE, other))
            expectThat(orders.sentAtMillis - lastOfFirst).isGreaterThanOrEqualTo(SETTINGS.pauseMillis)
        }

    private fun TestScope.clock() =
        object : Clock {
            override fun monotonicMillis(): Long = currentTime

            override fun wallMillis(): Long = currentTime
        }

    private fun rollout(
        node: NodeId,
        store: MemoryKeyValueStore,
        clock: Clock,
        orders: WeightOrders,
    ): WeightRollout {
        val journal = Journal(node, clock)
        val keys = LeadershipKeys(LEASE, "last")
        val leadership = Leadership("weights", LeadershipDependencies(node, store, clock, journal), 2, keys)
        val dependencies = WeightRolloutDependencies(node, state(), orders, clock, journal, GatewayMetrics())
        return WeightRollout(dependencies, leadership, SETTINGS)
    }

    private fun state(): GatewayState {
        val service = TargetService(ServiceName("s"), 1, listOf(MODEL))
        val targets =
            (0 until ENGINES).map {
                Target(
                    TargetId("t$it"),
                    service.name,
                    "t$it:1",
                    DataCentre("x"),
                    8,
                    draining = false,
                    versions = mapOf(MODEL to WeightVersion(1)),
                )
            }
        return GatewayState().also { state ->
            state.routes.update { RouteTable(ConfigurationRevision(1), emptyList(), listOf(service)) }
            state.targets.update { TargetList(targets.associateBy { it.id }) }
            state.namedVersions.update { mapOf(MODEL to WeightVersion(2)) }
        }
    }

    /** Reports arrive from the first [responding] engines only; orders change nothing. */
    private class PartlySilentOrders(private val responding: Int, private val now: () -> Long = { 0 }) : WeightOrders {
        val senders = HashSet<NodeId>()
        var sentAtMillis = 0L

        override suspend fun report(target: Target): EngineReport? {
            val responds = target.id.value.removePrefix("t").toInt() < responding
            if (!responds) delay(SETTINGS.orderTimeoutMillis)
            return if (responds) EngineReport(0, busy = false, mapOf(MODEL to WeightVersion(1))) else null
        }

        override suspend fun send(
            target: Target,
            order: WeightOrder,
        ): OrderOutcome {
            senders += order.holder
            sentAtMillis = now()
            return OrderOutcome.CONFLICT
        }
    }

    private companion object {
        private const val ENGINES = 6
        private const val LEASE = "lease"
        private const val PREDECESSOR_MILLIS = 5_000L
        private val NODE = NodeId("leader")
        private val MODEL = ModelName("m")
        private val SETTINGS = WeightSettings()
    }
}
