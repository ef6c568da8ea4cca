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

internal class PlansTest {
    private class Fixture {
        val clock = ManualClock()
        val store = MemoryKeyValueStore(clock)
        val node = node("a")
        val here = Plans(node)
        val there = Plans(node("b"))

        private fun node(id: String): Node {
            val settings = Settings(NodeId(id), DataCentre("d"), "h:1", "h:2", "h:3", "h:4")
            return Node(settings, NodeRole.CONTROLLER, NodeDrivers(clock, store, MemoryPeers()))
        }

        suspend fun planned(name: String): Plan = checkNotNull(here.plan(Intent(name)).get())
    }

    private fun case(
        name: String,
        block: suspend Fixture.() -> Unit,
    ): DynamicTest = dynamicTest(name) { runBlocking { Fixture().block() } }

    @TestFactory
    fun `configuration - an accepted plan is in force, and never lost or doubled`(): List<DynamicTest> =
        listOf(
            case("nothing changes before the confirmation") {
                planned("i")
                expectThat(node.board.configuration.read().revision.value).isEqualTo(0)
            },
            case("another controller confirms what this one planned") {
                expectThat(there.confirm(planned("i").id).get()?.revision?.value).isEqualTo(1)
            },
            case("of two racing operators the second sees the first's change") {
                val mine = planned("mine")
                val other = checkNotNull(there.plan(DrainRequest("engine-7")).get())
                there.confirm(other.id)
                expectThat(here.confirm(mine.id).getError()).isNotNull().and {
                    get { kind }.isEqualTo(ProblemKind.CONFLICT)
                    get { detail }.contains("drain engine-7")
                }
            },
            case("a lost answer is resolved by reading back") {
                val plan = planned("i")
                store.failWrites(CallFault.LOST_ANSWER)
                expectThat(here.confirm(plan.id).get()?.revision?.value).isEqualTo(1)
            },
            case("confirming twice applies once") {
                val plan = planned("i")
                here.confirm(plan.id)
                expectThat(there.confirm(plan.id).get()).isNotNull().and {
                    get { alreadyApplied }.isTrue()
                    get { revision.value }.isEqualTo(1)
                }
            },
            case("an outage refuses and loses nothing") {
                val plan = planned("i")
                store.down = true
                expectThat(here.confirm(plan.id).getError()?.kind).isEqualTo(ProblemKind.UNAVAILABLE)
                store.down = false
                expectThat(here.confirm(plan.id).get()?.revision?.value).isEqualTo(1)
            },
            case("a lapsed plan is named so") {
                val plan = planned("i")
                clock.advance(3_700_000)
                expectThat(here.confirm(plan.id).getError()?.kind).isEqualTo(ProblemKind.NOT_FOUND)
                expectThat(here.confirm(PlanId("none")).getError()?.kind).isEqualTo(ProblemKind.NOT_FOUND)
            },
        )
}
