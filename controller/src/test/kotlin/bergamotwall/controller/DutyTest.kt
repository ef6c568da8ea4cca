package bergamotwall.controller

import bergamotwall.model.NodeId
import bergamotwall.runtime.Duty
import bergamotwall.runtime.DutyParts
import bergamotwall.runtime.Journal
import bergamotwall.standins.fakes.CallFault
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

internal class DutyTest {
    private class Fixture {
        val clock = ManualClock()
        val store = MemoryKeyValueStore(clock)
        val a = duty("a")
        val b = duty("b")

        private fun duty(node: String) =
            Duty("rollout/m", DutyParts(NodeId(node), store, clock, Journal(NodeId(node), clock)), 4)

        fun neverBoth() {
            expectThat(a.mayAct() && b.mayAct()).isFalse()
        }
    }

    private fun case(
        name: String,
        block: suspend Fixture.() -> Unit,
    ): DynamicTest = dynamicTest(name) { runBlocking { Fixture().block() } }

    @TestFactory
    fun `orders to targets - one holder acts, and none after its lease`(): List<DynamicTest> =
        listOf(
            case("the second waits while the first renews") {
                repeat(40) {
                    a.step()
                    b.step()
                    clock.advance(500)
                    expectThat(a.mayAct()).isTrue()
                    expectThat(b.mayAct()).isFalse()
                }
            },
            case("a holder that wakes after its lease sends nothing, and the next has a higher number") {
                a.step()
                val old = checkNotNull(a.holding).fence
                repeat(12) {
                    clock.advance(500)
                    neverBoth()
                    b.step()
                }
                expectThat(a.mayAct()).isFalse()
                expectThat(b.mayAct()).isTrue()
                expectThat(b.holding).isNotNull().get { fence }.isGreaterThan(old)
                a.step()
                expectThat(a.mayAct()).isFalse()
            },
            case("a lost answer leaves the duty to no one until the lease lapses") {
                store.failWrites(CallFault.LOST_ANSWER)
                a.step()
                expectThat(a.mayAct()).isFalse()
                repeat(12) {
                    a.step()
                    b.step()
                    clock.advance(500)
                    neverBoth()
                }
                expectThat(a.mayAct() || b.mayAct()).isTrue()
            },
        )

    @TestFactory
    fun `orders to targets - outages and releases`(): List<DynamicTest> =
        listOf(
            case("an outage ends the duty before the lease does, and it is taken up after") {
                a.step()
                store.down = true
                repeat(8) {
                    a.step()
                    clock.advance(500)
                }
                expectThat(a.mayAct()).isFalse()
                store.down = false
                repeat(12) {
                    a.step()
                    b.step()
                    clock.advance(500)
                    neverBoth()
                }
                expectThat(a.mayAct() || b.mayAct()).isTrue()
            },
            case("a released duty is free at once") {
                a.step()
                a.release()
                b.step()
                expectThat(b.mayAct()).isTrue()
                expectThat(a.mayAct()).isFalse()
            },
        )
}
