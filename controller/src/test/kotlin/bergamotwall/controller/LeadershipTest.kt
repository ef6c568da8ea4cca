package bergamotwall.controller

import bergamotwall.model.NodeId
import bergamotwall.runtime.Journal
import bergamotwall.runtime.Leadership
import bergamotwall.runtime.LeadershipDependencies
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

internal class LeadershipTest {
    private class Fixture {
        val clock = ManualClock()
        val store = MemoryKeyValueStore(clock)
        val a = leadership("a")
        val b = leadership("b")

        private fun leadership(node: String) =
            Leadership("rollout/m", LeadershipDependencies(NodeId(node), store, clock, Journal(NodeId(node), clock)), 4)

        fun expectAtMostOneLeader() {
            expectThat(a.mayAct() && b.mayAct()).isFalse()
        }
    }

    private fun case(
        name: String,
        block: suspend Fixture.() -> Unit,
    ): DynamicTest = dynamicTest(name) { runBlocking { Fixture().block() } }

    @TestFactory
    fun `orders to targets - at most one process may act, and none after its lease has expired`(): List<DynamicTest> =
        listOf(
            case("a process does not take over while the leader renews its lease") {
                repeat(40) {
                    a.step()
                    b.step()
                    clock.advance(500)
                    expectThat(a.mayAct()).isTrue()
                    expectThat(b.mayAct()).isFalse()
                }
            },
            case("a leader paused past its lease may not act, and its successor has a higher fencing token") {
                a.step()
                val oldFence = checkNotNull(a.holding).fence
                repeat(12) {
                    clock.advance(500)
                    expectAtMostOneLeader()
                    b.step()
                }
                expectThat(a.mayAct()).isFalse()
                expectThat(b.mayAct()).isTrue()
                expectThat(b.holding).isNotNull().get { fence }.isGreaterThan(oldFence)
                a.step()
                expectThat(a.mayAct()).isFalse()
            },
            case("after a lost response no process leads until the lease expires") {
                store.failWrites(CallFault.LOST_RESPONSE)
                a.step()
                expectThat(a.mayAct()).isFalse()
                repeat(12) {
                    a.step()
                    b.step()
                    clock.advance(500)
                    expectAtMostOneLeader()
                }
                expectThat(a.mayAct() || b.mayAct()).isTrue()
            },
        )

    @TestFactory
    fun `orders to targets - outages and releases`(): List<DynamicTest> =
        listOf(
            case("in an outage the leader stops before its lease expires, and afterwards a process leads again") {
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
                    expectAtMostOneLeader()
                }
                expectThat(a.mayAct() || b.mayAct()).isTrue()
            },
            case("a released leadership can be acquired at once") {
                a.step()
                a.release()
                b.step()
                expectThat(b.mayAct()).isTrue()
                expectThat(a.mayAct()).isFalse()
            },
        )
}
