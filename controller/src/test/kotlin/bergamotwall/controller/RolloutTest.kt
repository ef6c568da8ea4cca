package bergamotwall.controller

import bergamotwall.drivers.EngineChunk
import bergamotwall.drivers.EngineDriver
import bergamotwall.drivers.EngineRequest
import bergamotwall.drivers.TargetError
import bergamotwall.model.Configuration
import bergamotwall.model.DataCentre
import bergamotwall.model.ModelIntent
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.NodeRole
import bergamotwall.model.PublishedVersion
import bergamotwall.model.Settings
import bergamotwall.model.TargetReport
import bergamotwall.model.Vm
import bergamotwall.model.VmList
import bergamotwall.model.VmRole
import bergamotwall.model.WeightOrder
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Leadership
import bergamotwall.runtime.LeadershipDependencies
import bergamotwall.runtime.Node
import bergamotwall.runtime.NodeDrivers
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo

/** In-memory engines that swap immediately; those at the addresses [failing] accept orders but never swap. */
private class FakeEngines(private val failing: Set<String>) : EngineDriver {
    val orders = ArrayList<WeightOrder>()
    val versions = HashMap<String, WeightVersion>()

    override suspend fun report(address: String): Result<TargetReport, TargetError> =
        Ok(TargetReport(version = versions[address] ?: WeightVersion(1)))

    override suspend fun order(
        address: String,
        order: WeightOrder,
    ): Result<Unit, TargetError> {
        orders += order
        if (address !in failing) versions[address] = order.version
        return Ok(Unit)
    }

    override suspend fun complete(
        address: String,
        request: EngineRequest,
        onChunk: suspend (EngineChunk) -> Unit,
    ): Result<Unit, TargetError> = Err(TargetError.NotStarted("not used"))
}

internal class RolloutTest {
    private val clock = ManualClock()
    private val model = ModelName("m")
    private val settings = Settings(NodeId("a"), DataCentre("d"), "h:1", "h:2", "h:3", "h:4")
    private val node =
        Node(settings, NodeRole.CONTROLLER, NodeDrivers(clock, MemoryKeyValueStore(clock), MemoryPeers()))
    private val leadership =
        Leadership("rollout/m", LeadershipDependencies(NodeId("a"), node.store, clock, node.journal), 4)

    private fun rollout(engines: EngineDriver): Rollout {
        node.replicator.adoptIfNewer(
            VmList(1, List(4) { Vm("e$it", VmRole.ENGINE, "m", "e$it", DataCentre("d")) }),
            "test"
        )
        node.replicator.adoptIfNewer(listOf(PublishedVersion(model, WeightVersion(2))))
        node.replicator.adoptIfNewer(Configuration(), "test")
        return Rollout(leadership, node, engines) { ModelIntent(model, availabilityFloorPercent = 50) }
    }

    private suspend fun steps(
        rollout: Rollout,
        count: Int,
    ) = repeat(count) {
        leadership.step()
        rollout.step()
        clock.advance(600)
    }

    @Test
    fun `all replicas reach the published version under one fencing token`(): Unit =
        runBlocking {
            val engines = FakeEngines(emptySet())
            steps(rollout(engines), 8)
            expectThat(engines.versions.values.toList()).hasSize(4).all { isEqualTo(WeightVersion(2)) }
            expectThat(engines.orders.map { it.fence }.toSet()).hasSize(1)
        }

    @Test
    fun `a leader that was paused past its lease sends no orders`(): Unit =
        runBlocking {
            val engines = FakeEngines(emptySet())
            val rollout = rollout(engines)
            leadership.step()
            clock.advance(3_500)
            rollout.step()
            expectThat(engines.orders).isEmpty()
        }

    @Test
    fun `a replica whose swaps keep failing is retried, then excluded, which the journal records`(): Unit =
        runBlocking {
            val engines = FakeEngines(setOf("e0"))
            steps(rollout(engines), 30)
            expectThat(engines.orders.size).isGreaterThanOrEqualTo(3 + 4)
            expectThat(engines.orders.size).isEqualTo(3 + 4)
            expectThat(
                node.journal.find("replica/e0").filter { it.decision == "set aside" }.size
            ).isGreaterThanOrEqualTo(1)
        }
}
