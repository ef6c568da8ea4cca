package bergamotwall.entry

import bergamotwall.decisions.batches.ReceiptDecision
import bergamotwall.model.Fingerprint
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeRole
import bergamotwall.model.ReceiptPhase
import bergamotwall.runtime.Node
import bergamotwall.standins.fakes.CallFault
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Sends a request and its retries to two entries that share one key-value service. */
internal class ReceiptsTest {
    private class Fixture {
        val clock = ManualClock()
        val store = MemoryKeyValueStore(clock)
        val peers = MemoryPeers()
        private val nodeA = entryNode("a", store, peers, clock)
        private val nodeB = entryNode("b", store, peers, clock)
        val a = receipts(nodeA)
        val b = receipts(nodeB)

        init {
            val members = listOf(nodeA, nodeB).map { member(it) }
            listOf(nodeA, nodeB).forEach { node -> node.fleetState.members.update { members } }
            peers.connect("a:2") { message, _ -> a.handle(message) }
            peers.connect("b:2") { message, _ -> b.handle(message) }
        }

        fun attempt(
            nonce: String,
            content: Long = 1,
        ) = Attempt("k", Fingerprint(content), nonce)

        suspend fun Receipts.decide(attempt: Attempt): String =
            reserve(attempt).fold({ it::class.simpleName.orEmpty() }, { "refused ${it.runState}" })

        private fun receipts(node: Node): Receipts {
            val writer = ReceiptWriter(store, clock).apply { start(node.scope) }
            return Receipts(node, FleetView(node.fleetState), writer)
        }

        private fun member(node: Node) =
            Member(
                node.id,
                NodeRole.ENTRY,
                node.settings.dataCentre,
                node.settings.peerAddress,
                "h",
                1,
                MemberState.ALIVE
            )
    }

    private fun case(
        name: String,
        block: suspend Fixture.() -> Unit,
    ): DynamicTest = dynamicTest(name) { runBlocking { Fixture().block() } }

    @TestFactory
    fun `at most once - at most one attempt is dispatched`(): List<DynamicTest> =
        listOf(
            case("a retry at another entry while the first attempt runs") {
                expectThat(a.decide(attempt("n1"))).isEqualTo("Dispatch")
                expectThat(b.decide(attempt("n2"))).isEqualTo("OutcomeUnknown")
            },
            case("a retry after the response gets the same response") {
                a.decide(attempt("n1"))
                a.complete(attempt("n1"), a.receipt(ReceiptPhase.DONE, attempt("n1")).copy(status = 200, body = "x"))
                val replay = b.reserve(attempt("n2")).get() as ReceiptDecision.Replay
                expectThat(replay.receipt.body).isEqualTo("x")
            },
            case("a retry after the entry crashed has an unknown outcome and is never dispatched") {
                a.decide(attempt("n1"))
                peers.isolate("a:2")
                expectThat(b.decide(attempt("n2"))).isEqualTo("OutcomeUnknown")
            },
            case("a key that is reused for different content is refused") {
                a.decide(attempt("n1"))
                expectThat(b.decide(attempt("n2", content = 2))).isEqualTo("KeyReused")
            },
            case("one of many concurrent attempts is dispatched") {
                val decisions = runBlocking {
                    List(
                        40
                    ) { i -> async { (if (i % 2 == 0) a else b).decide(attempt("n$i")) } }.awaitAll()
                }
                expectThat(decisions.count { it == "Dispatch" }).isEqualTo(1)
            },
        )

    @TestFactory
    fun `reported as not run only if not run - refused attempts are not dispatched, retries are`(): List<DynamicTest> =
        listOf(
            case("an attempt refused in an outage did not run, and its retry is dispatched") {
                store.down = true
                expectThat(a.decide(attempt("n1"))).isEqualTo("refused NOT_RUN")
                store.down = false
                expectThat(b.decide(attempt("n2"))).isEqualTo("Dispatch")
            },
            case("a reservation whose response was lost is read back") {
                store.failWrites(CallFault.LOST_RESPONSE)
                expectThat(a.decide(attempt("n1"))).isEqualTo("Dispatch")
            },
            case("a reservation abandoned before dispatch is taken over") {
                a.decide(attempt("n1"))
                a.abandon(attempt("n1"))
                expectThat(b.decide(attempt("n2"))).isEqualTo("Dispatch")
                expectThat(a.decide(attempt("n3"))).isEqualTo("OutcomeUnknown")
            },
            case("one of two attempts that take over is dispatched") {
                a.decide(attempt("n1"))
                a.abandon(attempt("n1"))
                val decisions = runBlocking {
                    listOf(
                        "n2",
                        "n3"
                    ).map { n -> async { b.decide(attempt(n)) } }.awaitAll()
                }
                expectThat(decisions.count { it == "Dispatch" }).isEqualTo(1)
            },
        )
}
