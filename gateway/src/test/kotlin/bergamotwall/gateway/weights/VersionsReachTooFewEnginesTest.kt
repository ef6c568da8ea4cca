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
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo

/** Trainers name versions one after another; the leader makes the engines load them, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class VersionsReachTooFewEnginesTest {
    private val state = GatewayState()
    private val models = (1..TRAINERS).map { ModelName("m$it") }
    private var loading = 0

    /** With two loads at once in a large fleet, steps ran on the few engines that held a version they allow. */
    @ParameterizedTest(name = "{0} engines, weight store bears {1} loads at once")
    @CsvSource("34, 10", "31, 9", "100, 30")
    fun `each version is held by its share of the engines before the next one is named`(
        engines: Int,
        bears: Int,
    ) = runTest {
        register(engines)
        start(bears)
        (FIRST_VERSION..LAST_VERSION).forEach { version ->
            state.namedVersions.update { models.associateWith { WeightVersion(version) } }
            advanceTimeBy(PERIOD_MILLIS)
            val held = models.map { model -> targets().count { it.versions.getValue(model).value >= version } }
            if (version > WARM_UP_VERSION) {
                expectThat(held.min())
                    .describedAs("engines that hold version $version: $held")
                    .isGreaterThanOrEqualTo(engines / TRAINERS)
            }
        }
    }

    private fun targets() = state.targets.read().targets.values

    private fun register(engines: Int) {
        val service = TargetService(ServiceName("s"), 1, models)
        state.routes.update { RouteTable(ConfigurationRevision(1), emptyList(), listOf(service)) }
        val targets = (1..engines).map { index ->
            Target(
                TargetId("t$index"),
                service.name,
                "t$index:1",
                DataCentre("x"),
                8,
                draining = false,
                versions = models.associateWith { WeightVersion(1) },
            )
        }
        state.targets.update { TargetList(targets.associateBy { it.id }) }
    }

    private fun TestScope.start(bears: Int) {
        val clock =
            object : Clock {
                override fun monotonicMillis(): Long = currentTime

                override fun wallMillis(): Long = currentTime
            }
        val node = NodeId("leader")
        val journal = Journal(node, clock)
        val settings = WeightSettings()
        val dependencies =
            WeightRolloutDependencies(node, state, SlowingOrders(this, bears), clock, journal, GatewayMetrics())
        val store = MemoryKeyValueStore(clock)
        val leadership =
            Leadership(
                "weights",
                LeadershipDependencies(node, store, clock, journal),
                settings.leaseTtlSeconds,
                LeadershipKeys("lease"),
            )
        WeightRollout(dependencies, leadership, settings).start(backgroundScope) { true }
        // A new leader waits for orders of the one before it.
        advanceTimeBy(settings.leaseTtlSeconds * MILLIS_PER_SECOND + settings.pauseMillis + settings.periodMillis)
    }

    /** Engines that load in [LOAD_MILLIS], longer if more than [bears] load, and then register the version. */
    private inner class SlowingOrders(private val scope: TestScope, private val bears: Int) : WeightOrders {
        private val accepted = HashMap<TargetId, Long>()

        override suspend fun report(target: Target): EngineReport =
            EngineReport(accepted[target.id] ?: 0, busy = false, targets().first { it.id == target.id }.versions)

        override suspend fun send(
            target: Target,
            order: WeightOrder,
        ): OrderOutcome {
            accepted.merge(target.id, 1, Long::plus)
            loading++
            val tookMillis = LOAD_MILLIS * maxOf(1.0, loading.toDouble() / bears)
            scope.backgroundScope.launch {
                delay(tookMillis.toLong())
                loading--
                state.targets.update { list ->
                    val loaded = list.targets.getValue(target.id)
                    val versions = loaded.versions + (order.model to order.version)
                    TargetList(list.targets + (target.id to loaded.copy(versions = versions)))
                }
            }
            return OrderOutcome.ACCEPTED
        }
    }

    private companion object {
        private const val TRAINERS = 3
        private const val LOAD_MILLIS = 900L
        private const val MILLIS_PER_SECOND = 1_000L

        /** Trainers name a version about as often as they ask for a step. */
        private const val PERIOD_MILLIS = 4_500L
        private const val FIRST_VERSION = 2L
        private const val LAST_VERSION = 9L

        /** How many loads the weight store bears is found out while the first versions are loaded. */
        private const val WARM_UP_VERSION = 3L
    }
}
