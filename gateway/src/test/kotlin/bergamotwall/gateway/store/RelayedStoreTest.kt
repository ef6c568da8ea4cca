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

/** A process with a direct connection to the store, which the tests interrupt, and another process that relays. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class RelayedStoreTest {
    private val clock = ManualClock()
    private val directStore = MemoryKeyValueStore(clock)
    private val relayStore = MemoryKeyValueStore(clock)
    private val peers = MemoryPeers()
    private val feed = ChangeFeed { _, after, _ -> Ok(KeyValueChanges(emptyList(), after)) }
    private val members =
        listOf("self", "other").map { GatewayMember(NodeId(it), 1, DataCentre("x"), "$it:1") }.associateBy { it.id }
    private val failover = RelayFailover(NodeId("self"), { MemberList(members) }, peers, clock, Random(1))
    private val outages = StoreOutages(clock, 2_000)
    private val store = RelayedStore(directStore, feed, failover, outages)

    init {
        val relay = StoreRelay(relayStore, feed)
        peers.connect("other:1") { message, _ -> relay.handle(message) ?: Done }
    }

    @Test
    fun `a call that fails directly is relayed through another process`() =
        runTest {
            directStore.down = true
            expectThat(store.commit(put("k", "v")).get()).isA<TransactionOutcome.Committed>()
            expectThat(store.get("k").get()?.value).isEqualTo("v")
            expectThat(relayStore.get("k").get()?.value).isEqualTo("v")
        }

    @Test
    fun `a write that may have been applied is not repeated`() =
        runTest {
            directStore.failWrites(CallFault.LOST_RESPONSE)
            val first = store.commit(put("k", "v"))
            expectThat(first.isErr).isTrue()
            expectThat(first.error).isEqualTo(KeyValueError.Unavailable("response lost", mayHaveApplied = true))
            expectThat(relayStore.get("k").get()).isEqualTo(null)
        }

    @Test
    fun `the direct connection is retried after a while, and immediately if the relays fail too`() =
        runTest {
            directStore.down = true
            store.get("k")
            expectThat(failover.directFirst()).isFalse()
            relayStore.down = true
            expectThat(store.get("k").isErr).isTrue()
            expectThat(failover.directFirst()).isTrue()
            relayStore.down = false
            clock.advance(2_000)
            directStore.down = false
            expectThat(store.get("k").isOk).isTrue()
        }

    @Test
    fun `a relayed transaction whose condition does not hold is declined`() =
        runTest {
            relayStore.commit(put("k", "theirs"))
            directStore.down = true
            val outcome = store.commit(Transaction(listOf(Condition.Absent("k")), listOf(Write.Put("k", "mine")))).get()
            expectThat(outcome).isA<TransactionOutcome.Declined>()
            expectThat(relayStore.get("k").get()?.value).isEqualTo("theirs")
        }

    @Test
    fun `a watch on a dead connection is cancelled once another call fails`() =
        runTest {
            val deadFeed = ChangeFeed { _, _, _ -> awaitCancellation() }
            val watching = RelayedStore(directStore, deadFeed, failover, outages)
            val changes = async { watching.changes("p", 7, 4_000) }
            runCurrent()
            directStore.down = true
            watching.get("k")
            expectThat(changes.await().isErr).isTrue()
            expectThat(watching.changes("p", 7, 0).get()?.revision).isEqualTo(7L)
        }

    @Test
    fun `a watch waits for one unresponsive relay only`() =
        runTest {
            val unresponsiveMembers = unresponsive(4)
            val failing = ChangeFeed { _, _, _ -> Err(KeyValueError.Unavailable("down", mayHaveApplied = false)) }
            val failover = RelayFailover(NodeId("self"), { MemberList(unresponsiveMembers) }, peers, clock, Random(1))
            expectThat(RelayedStore(directStore, failing, failover, outages).changes("p", 7, 2_500).isErr).isTrue()
            expectThat(testScheduler.currentTime).isLessThanOrEqualTo(3_500)
        }

    @Test
    fun `a renewal whose response is lost is repeated through another process`() =
        runTest {
            val lease = relayStore.grantLease(2).get()!!
            val losesResponses =
                object : KeyValueStore by directStore {
                    override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> =
                        Err(KeyValueError.Unavailable("no response", mayHaveApplied = true))
                }
            expectThat(RelayedStore(losesResponses, feed, failover, outages).keepAlive(lease).isOk).isTrue()
        }

    @Test
    fun `calls find a relay that reaches the service among many processes that are cut off`() =
        runTest {
            val allMembers = MemberList(members + unresponsive(8))
            val otherFailover = RelayFailover(NodeId("self"), { allMembers }, peers, clock, Random(5))
            val isolated = RelayedStore(directStore, feed, otherFailover, outages)
            directStore.down = true
            val lease = relayStore.grantLease(2).get()!!
            var renewed = 0
            // A leader renews its lease three times within its two seconds, and keeps it if one renewal succeeds.
            repeat(12) {
                withTimeoutOrNull(700) { if (isolated.keepAlive(lease).isOk) renewed++ }
                clock.advance(700)
            }
            expectThat(renewed).isGreaterThan(8)
        }

    /** Processes that are registered but never respond. */
    private fun unresponsive(count: Int): Map<NodeId, GatewayMember> =
        (1..count).map { "cut$it" }.associate { name ->
            peers.silence("$name:1")
            NodeId(name) to GatewayMember(NodeId(name), 1, DataCentre("x"), "$name:1")
        }

    private fun put(
        key: String,
        value: String,
    ) = Transaction(emptyList(), listOf(Write.Put(key, value)))
}
