package bergamotwall.gateway.batches

import bergamotwall.decisions.ownerOf
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.GatewayBoard
import bergamotwall.gateway.http.AnswerPart
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.routes.BatchTerms
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.routes.ServiceShare
import bergamotwall.gateway.targets.AnswerFacts
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetCall
import bergamotwall.gateway.targets.TargetLoads
import bergamotwall.gateway.targets.TargetProtocol
import bergamotwall.model.Alive
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.DataCentre
import bergamotwall.model.ItemId
import bergamotwall.model.ItemSpec
import bergamotwall.model.NodeId
import bergamotwall.model.ServiceName
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Journal
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import kotlin.random.Random

@OptIn(ExperimentalCoroutinesApi::class)
internal class OrphansTest {
    private val clock = ManualClock()
    private val store = MemoryKeyValueStore(clock)

    /** Lets other coroutines run while a listing is under way, as the network does. */
    private val slowStore =
        object : KeyValueStore by store {
            override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> {
                yield()
                return if (failing) {
                    Err(
                        KeyValueError.Unavailable("turned away", mayHaveApplied = false)
                    )
                } else {
                    store.list(prefix)
                }
            }
        }
    private val group = NioEventLoopGroup(1)
    private val client = TargetClient(group, NioSocketChannel::class.java)
    private val peers = MemoryPeers()
    private var failing = false
    private var self = GatewayMember(NodeId("self"), 2, DataCentre("x"), "self:1", ready = true)
    private val other = GatewayMember(NodeId("gone"), 1, DataCentre("x"), "gone:1")
    private val board = GatewayBoard()
    private val journal = Journal(NodeId("self"), clock)
    private val id = BatchId("b")

    @AfterEach
    fun close() {
        client.close()
        group.shutdownGracefully()
    }

    @Test
    fun `two changes at once take a batch over once`() =
        runTest {
            own(owner = "gone", incarnation = 1)
            val batches = batches(this)
            launch { batches.membersChanged() }
            launch { batches.membersChanged() }
            pass(100)
            expectThat(adoptions()).hasSize(1)
        }

    @ParameterizedTest(name = "owner {0} in incarnation {1}, registered {2}, answers {3}, ended {4}: adopted {5}")
    @CsvSource(
        "gone, 1, false, false, false, true",
        // It lives, though its registration lapsed.
        "gone, 1, false, true, false, false",
        "gone, 1, true, false, false, false",
        "gone, 1, false, false, true, false",
        // This process before its restart.
        "self, 1, false, false, false, true",
    )
    @Suppress("LongParameterList") // one parameter a column of the table
    fun `a batch is an orphan if its owner neither is registered nor answers`(
        owner: String,
        incarnation: Long,
        registered: Boolean,
        answers: Boolean,
        ended: Boolean,
        adopted: Boolean,
    ) = runTest {
        val batches = batches(this)
        know(batches, other)
        if (answers) peers.connect("gone:1") { _, _ -> Alive(1) }
        own(owner, incarnation, ended)
        if (!registered) know(batches)
        pass(10_000)
        expectThat(adoptions().size).isEqualTo(if (adopted) 1 else 0)
        val found = checkNotNull(BatchStore(store).ownership(id).get()).ownership
        expectThat(found.owner.value).isEqualTo(if (adopted) "self" else owner)
    }

    @Test
    fun `an owner that answered without a registration is asked again until it is gone`() =
        runTest {
            val batches = batches(this)
            know(batches, other)
            own(owner = "gone", incarnation = 1)
            peers.connect("gone:1") { _, _ -> Alive(1) }
            know(batches)
            pass(5_000)
            expectThat(adoptions()).hasSize(0)
            // It ends: no change of the members will tell, as it was not registered.
            peers.cut("gone:1")
            pass(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @ParameterizedTest(name = "the survivor elected is ready: {0}")
    @CsvSource("true", "false")
    fun `a batch that the survivor elected does not take falls to the others`(ready: Boolean) =
        runTest {
            val batches = batches(this)
            val elected = electedOver(self).copy(ready = ready)
            own(owner = "gone", incarnation = 1)
            know(batches, elected)
            pass(1_000)
            // One that is not ready is not waited for.
            expectThat(adoptions()).hasSize(if (ready) 0 else 1)
            pass(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @Test
    fun `a batch whose records can't be read is taken once they can`() =
        runTest {
            own(owner = "gone", incarnation = 1)
            val batches = batches(this)
            failing = true
            know(batches)
            pass(5_000)
            expectThat(adoptions()).hasSize(0)
            failing = false
            pass(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @Test
    fun `a process that is not ready takes nothing until it is`() =
        runTest {
            own(owner = "gone", incarnation = 1)
            self = self.copy(ready = false)
            val batches = batches(this)
            know(batches)
            pass(5_000)
            expectThat(adoptions()).hasSize(0)
            self = self.copy(ready = true)
            pass(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    private suspend fun know(
        batches: Batches,
        vararg others: GatewayMember,
    ) {
        board.members.update { MemberList((others.toList() + self).associateBy { it.id }) }
        batches.membersChanged()
    }

    /** A member that rendezvous hashing prefers to [member] for the batch of these tests. */
    private fun electedOver(member: GatewayMember): GatewayMember =
        (1..100)
            .map { NodeId("other$it") }
            .first { ownerOf(id.value, listOf(member.id, it)) == it }
            .let { GatewayMember(it, 1, DataCentre("x"), "${it.value}:1", ready = true) }

    /** Lets [millis] of virtual time pass, for the coroutines and for the clock. */
    private fun TestScope.pass(millis: Long) {
        repeat((millis / STEP_MILLIS).toInt()) {
            clock.advance(STEP_MILLIS)
            testScheduler.advanceTimeBy(STEP_MILLIS)
            runCurrent()
        }
    }

    private fun adoptions() = journal.find("batch/").filter { it.decision == "adopted" }

    private suspend fun own(
        owner: String,
        incarnation: Long,
        ended: Boolean = false,
    ) {
        val item = ItemSpec(ItemId("i"), "g", "/item/1", emptyList(), "", 1)
        val record = BatchRecord(id, "h", "/batch/", null, 0, WeightVersion(1), 1, listOf(item))
        val ownership = BatchOwnership(NodeId(owner), incarnation, "n", 0, 1, 0, ended)
        BatchCreator(store, 1_000).create(record, ownership, Attempts(clock, Random(1), Long.MAX_VALUE))
    }

    private fun batches(scope: TestScope): Batches {
        board.routes.update { RouteTable(ConfigurationRevision(1), listOf(route)) }
        board.members.update { MemberList(mapOf(self.id to self)) }
        val loads = TargetLoads()
        val parts =
            BatchParts({ self }, board, slowStore, peers, client, NoTargets, loads, clock, Random(1), journal)
        return Batches(parts, BatchSettings(), scope.backgroundScope, StandardTestDispatcher(scope.testScheduler))
    }

    private val route =
        Route(
            name = "r",
            host = "h",
            pathPrefix = "/batch/",
            kind = RouteKind.BATCH,
            timeoutMillis = 1_000,
            targetLatencyMillis = 500,
            priority = 1,
            maxAttempts = 3,
            resumable = true,
            shares = listOf(ServiceShare(ServiceName("s"), 1)),
            batch = BatchTerms(7_500, 40_000, false),
        )

    /** No target is registered, so nothing is ever sent. */
    private object NoTargets : TargetProtocol {
        override fun request(
            call: TargetCall,
            target: Target,
        ): TargetRequest = error("nothing is sent")

        override fun read(head: AnswerPart.Head): AnswerFacts = error("nothing is read")

        override fun eventVersion(fields: Map<String, String>): Long? = null
    }

    private companion object {
        private const val STEP_MILLIS = 100L
    }
}
