package bergamotwall.gateway.batches

import bergamotwall.decisions.ownerOf
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.gateway.GatewayBoard
import bergamotwall.gateway.GatewayMetrics
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
import bergamotwall.gateway.targets.TargetParts
import bergamotwall.gateway.targets.TargetProtocol
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
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.TestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.yield
import kotlin.random.Random

/** The work on batches at one process, over a key-value service and peers in memory, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class BatchFixture : AutoCloseable {
    private val scheduler = TestCoroutineScheduler()

    /** What tests run on. */
    val dispatcher: TestDispatcher = StandardTestDispatcher(scheduler)

    private val clock =
        object : Clock {
            override fun monotonicMillis(): Long = scheduler.currentTime

            override fun wallMillis(): Long = scheduler.currentTime
        }

    /** The key-value service, without its failures. */
    val memory = MemoryKeyValueStore(clock)

    /** Whether listings fail. */
    var listsFail = false

    /** Whether writes fail, unapplied. */
    var writesFail = false

    /** Whether writes are applied and their answers lost. */
    var answersLost = false

    /** Whether reads of one key fail. */
    var readsFail = false

    /** How long a write takes, in milliseconds. */
    var writeMillis = 0L

    private val store =
        object : KeyValueStore by memory {
            override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> {
                // Lets other coroutines run while the call is under way, as the network does.
                yield()
                return if (listsFail) turnedAway else memory.list(prefix)
            }

            override suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError> =
                if (readsFail) turnedAway else memory.get(key)

            override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> =
                if (writesFail) {
                    turnedAway
                } else {
                    val outcome = memory.commit(transaction)
                    delay(writeMillis)
                    if (answersLost) lost else outcome
                }
        }

    /** Other processes. */
    val peers = MemoryPeers()

    private val group = NioEventLoopGroup(1)
    private val client = TargetClient(group, NioSocketChannel::class.java)

    /** The process under test. */
    var self = GatewayMember(NodeId("self"), 2, DataCentre("x"), "self:1", "self:2", ready = true)

    private val board = GatewayBoard()

    /** Its decisions. */
    val journal = Journal(NodeId("self"), clock)

    /** A batch of one item, and its id. */
    val id = BatchId("b")
    val record: BatchRecord = record(id.value, 1)

    /** The route of all batches. */
    val route =
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

    /** The work on batches, in the background of [scope]; the process knows the route and itself. */
    fun batches(scope: TestScope): Batches {
        board.routes.update { RouteTable(ConfigurationRevision(1), listOf(route)) }
        board.members.update { MemberList(mapOf(self.id to self)) }
        val parts =
            BatchParts(
                self = { self },
                store = store,
                peers = peers,
                work =
                TargetParts(
                    board = board,
                    client = client,
                    protocol = NoTargets,
                    loads = TargetLoads(),
                    clock = clock,
                    random = Random(1),
                    journal = journal,
                    dataCentre = self.dataCentre,
                    metrics = GatewayMetrics(),
                ),
            )
        return Batches(parts, BatchSettings(), scope.backgroundScope, dispatcher)
    }

    /** The members are this process and [others] now. */
    suspend fun know(
        batches: Batches,
        vararg others: GatewayMember,
    ) {
        board.members.update { MemberList((others.toList() + self).associateBy { it.id }) }
        batches.membersChanged()
    }

    /** No route is known any more. */
    fun dropRoutes() {
        board.routes.update { RouteTable(ConfigurationRevision(2), emptyList()) }
    }

    /** An entry that batches of [route] run at rather than at this process. */
    fun electedOverSelf(): GatewayMember =
        (1..100)
            .map { NodeId("other$it") }
            .first { ownerOf(route.name, listOf(self.id, it)) == it }
            .let { GatewayMember(it, 1, DataCentre("x"), "${it.value}:1", "${it.value}:2", ready = true) }

    /** Writes [record] as owned by [owner] in [incarnation]. */
    suspend fun own(
        owner: String,
        incarnation: Long,
        ended: Boolean = false,
    ) {
        val ownership = BatchOwnership(NodeId(owner), incarnation, "n", 0, 1, 0, route.name, ended)
        BatchCreator(memory, 1_000).create(record, ownership, Attempts(clock, Random(1), Long.MAX_VALUE))
    }

    /** A batch [id] of [items] items. */
    fun record(
        id: String,
        items: Int,
    ): BatchRecord {
        val specs = (1..items).map { ItemSpec(ItemId("$id-$it"), "g", "/item/$it", emptyList(), "", 1) }
        return BatchRecord(BatchId(id), "h", "/batch/", null, 0, WeightVersion(1), 1, specs)
    }

    override fun close() {
        client.close()
        group.shutdownGracefully()
    }

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
        private val lost = Err(KeyValueError.Unavailable("answer lost", mayHaveApplied = true))
        private val turnedAway = Err(KeyValueError.Unavailable("turned away", mayHaveApplied = false))
    }
}
