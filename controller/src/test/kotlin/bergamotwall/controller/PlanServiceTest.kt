package bergamotwall.controller

import bergamotwall.model.DataCentre
import bergamotwall.model.DrainRequest
import bergamotwall.model.Intent
import bergamotwall.model.NodeId
import bergamotwall.model.NodeRole
import bergamotwall.model.Plan
import bergamotwall.model.PlanId
import bergamotwall.model.ProblemKind
import bergamotwall.model.Settings
import bergamotwall.runtime.Node
import bergamotwall.runtime.NodeDrivers
import bergamotwall.standins.fakes.CallFault
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

internal class PlanServiceTest {
    private class Fixture {
        val clock = ManualClock()
        val store = MemoryKeyValueStore(clock)
        val node = node("a")
        val local = PlanService(node)
        val remote = PlanService(node("b"))

        private fun node(id: String): Node {
            val settings = Settings(NodeId(id), DataCentre("d"), "h:1", "h:2", "h:3", "h:4")
            return Node(settings, NodeRole.CONTROLLER, NodeDrivers(clock, store, MemoryPeers()))
        }

        suspend fun planLocally(name: String): Plan = checkNotNull(local.plan(Intent(name)).get())
    }

    private fun case(
        name: String,
        block: suspend Fixture.() -> Unit,
    ): DynamicTest = dynamicTest(name) { runBlocking { Fixture().block() } }

    @TestFactory
    fun `configuration - a confirmed plan takes effect exactly once`(): List<DynamicTest> =
        listOf(
            case("the configuration does not change before the confirmation") {
                planLocally("i")
                expectThat(node.fleetState.configuration.read().revision.value).isEqualTo(0)
            },
            case("a plan can be confirmed by another controller") {
                expectThat(remote.confirm(planLocally("i").id).get()?.revision?.value).isEqualTo(1)
            },
            case("of two concurrent confirmations the later is refused and names the earlier change") {
                val own = planLocally("own")
                val other = checkNotNull(remote.plan(DrainRequest("engine-7")).get())
                remote.confirm(other.id)
                expectThat(local.confirm(own.id).getError()).isNotNull().and {
                    get { kind }.isEqualTo(ProblemKind.CONFLICT)
                    get { detail }.contains("drain engine-7")
                }
            },
            case("a write whose response was lost is resolved by reading the configuration again") {
                val plan = planLocally("i")
                store.failWrites(CallFault.LOST_RESPONSE)
                expectThat(local.confirm(plan.id).get()?.revision?.value).isEqualTo(1)
            },
            case("a plan that is confirmed twice is applied once") {
                val plan = planLocally("i")
                local.confirm(plan.id)
                expectThat(remote.confirm(plan.id).get()).isNotNull().and {
                    get { alreadyApplied }.isTrue()
                    get { revision.value }.isEqualTo(1)
                }
            },
            case("a confirmation is refused in an outage, and the plan can be confirmed afterwards") {
                val plan = planLocally("i")
                store.down = true
                expectThat(local.confirm(plan.id).getError()?.kind).isEqualTo(ProblemKind.UNAVAILABLE)
                store.down = false
                expectThat(local.confirm(plan.id).get()?.revision?.value).isEqualTo(1)
            },
            case("an expired or unknown plan is reported as not found") {
                val plan = planLocally("i")
                clock.advance(3_700_000)
                expectThat(local.confirm(plan.id).getError()?.kind).isEqualTo(ProblemKind.NOT_FOUND)
                expectThat(local.confirm(PlanId("none")).getError()?.kind).isEqualTo(ProblemKind.NOT_FOUND)
            },
        )
}
