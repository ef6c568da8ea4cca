package bergamotwall.gateway.store

import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueChanges
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.model.DataCentre
import bergamotwall.model.Done
import bergamotwall.model.NodeId
import bergamotwall.standins.fakes.CallFault
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

/** Two ways to one store: this process's own, which the test breaks, and that of another process. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class RelayedStoreTest {
    private val clock = ManualClock()
    private val own = MemoryKeyValueStore(clock)
    private val others = MemoryKeyValueStore(clock)
    private val peers = MemoryPeers()
    private val feed = ChangeFeed { _, after, _ -> Ok(KeyValueChanges(emptyList(), after)) }
    private val members =
        listOf("self", "other").map { GatewayMember(NodeId(it), 1, DataCentre("x"), "$it:1") }.associateBy { it.id }
    private val path = RelayPath(NodeId("self"), { MemberList(members) }, peers, clock, Random(1))
    private val store = RelayedStore(own, feed, path)

    init {
        val relay = StoreRelay(others, feed)
        peers.connect("other:1") { message, _ -> relay.answer(message) ?: Done }
    }

    @Test
    fun `a call that the service turns away is made through another process`() =
        runTest {
            own.down = true
            expectThat(store.commit(put("k", "v")).get()).isA<TransactionOutcome.Committed>()
            expectThat(store.get("k").get()?.value).isEqualTo("v")
            expectThat(others.get("k").get()?.value).isEqualTo("v")
        }

    @Test
    fun `a write that may have been applied is not repeated behind its caller's back`() =
        runTest {
            own.failWrites(CallFault.LOST_ANSWER)
            val first = store.commit(put("k", "v"))
            expectThat(first.isErr).isTrue()
            expectThat(first.error).isEqualTo(KeyValueError.Unavailable("answer lost", mayHaveApplied = true))
            expectThat(others.get("k").get()).isEqualTo(null)
        }

    @Test
    fun `the own way is tried again after a while, and at once if no other process reaches the service`() =
        runTest {
            own.down = true
            store.get("k")
            expectThat(path.directFirst()).isFalse()
            others.down = true
            expectThat(store.get("k").isErr).isTrue()
            expectThat(path.directFirst()).isTrue()
            others.down = false
            clock.advance(2_000)
            own.down = false
            expectThat(store.get("k").isOk).isTrue()
        }

    @Test
    fun `a condition that does not hold is declined through another process too`() =
        runTest {
            others.commit(put("k", "theirs"))
            own.down = true
            val outcome = store.commit(Transaction(listOf(Condition.Absent("k")), listOf(Write.Put("k", "mine")))).get()
            expectThat(outcome).isA<TransactionOutcome.Declined>()
            expectThat(others.get("k").get()?.value).isEqualTo("theirs")
        }

    @Test
    fun `a watch on a connection that fell silent is given up once another call fails`() =
        runTest {
            val silent = ChangeFeed { _, _, _ -> awaitCancellation() }
            val watching = RelayedStore(own, silent, path)
            val found = async { watching.changes("p", 7, 4_000) }
            runCurrent()
            own.down = true
            watching.get("k")
            expectThat(found.await().get()?.revision).isEqualTo(7L)
        }

    @Test
    fun `a watch waits for one silent relay only`() =
        runTest {
            val cut = silent(4)
            val failing = ChangeFeed { _, _, _ -> Err(KeyValueError.Unavailable("down", mayHaveApplied = false)) }
            val path = RelayPath(NodeId("self"), { MemberList(cut) }, peers, clock, Random(1))
            expectThat(RelayedStore(own, failing, path).changes("p", 7, 2_500).isErr).isTrue()
            expectThat(testScheduler.currentTime).isLessThanOrEqualTo(3_500)
        }

    @Test
    fun `a renewal whose answer is lost is repeated through another process`() =
        runTest {
            val lease = others.grantLease(2).get()!!
            val losing =
                object : KeyValueStore by own {
                    override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> =
                        Err(KeyValueError.Unavailable("no answer", mayHaveApplied = true))
                }
            expectThat(RelayedStore(losing, feed, path).keepAlive(lease).isOk).isTrue()
        }

    @Test
    fun `calls find a process that reaches the service among many that are cut off`() =
        runTest {
            val all = MemberList(members + silent(8))
            val cutOff = RelayedStore(own, feed, RelayPath(NodeId("self"), { all }, peers, clock, Random(5)))
            own.down = true
            val lease = others.grantLease(2).get()!!
            var renewed = 0
            // A duty renews its lease three times in its two seconds, and keeps it if one of these works.
            repeat(12) {
                withTimeoutOrNull(700) { if (cutOff.keepAlive(lease).isOk) renewed++ }
                clock.advance(700)
            }
            expectThat(renewed).isGreaterThan(8)
        }

    /** Processes that are registered and never answer. */
    private fun silent(count: Int): Map<NodeId, GatewayMember> =
        (1..count).map { "cut$it" }.associate { name ->
            peers.silence("$name:1")
            NodeId(name) to GatewayMember(NodeId(name), 1, DataCentre("x"), "$name:1")
        }

    private fun put(
        key: String,
        value: String,
    ) = Transaction(emptyList(), listOf(Write.Put(key, value)))
}
