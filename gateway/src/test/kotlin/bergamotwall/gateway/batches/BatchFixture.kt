package bergamotwall.gateway.batches

import bergamotwall.decisions.ownerOf
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.forwarding.CallerRequest
import bergamotwall.gateway.forwarding.ForwardOutcome
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.gateway.http.valueOf
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.routes.BatchTerms
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.routes.ServiceShare
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.LateStore
import bergamotwall.gateway.targets.ResponseMetadata
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetCall
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.targets.TargetLimits
import bergamotwall.gateway.targets.TargetLoads
import bergamotwall.gateway.targets.TargetProtocol
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.DataCentre
import bergamotwall.model.ItemId
import bergamotwall.model.ItemSpec
import bergamotwall.model.NodeId
import bergamotwall.model.RequestId
import bergamotwall.model.RewardCall
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.TestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.yield
import kotlin.random.Random

/** Sets up [Batches] of one process with an in-memory key-value service and peers, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class BatchFixture : AutoCloseable {
    private val scheduler = TestCoroutineScheduler()

    /** Dispatcher that tests and the batch loop run on. */
    val dispatcher: TestDispatcher = StandardTestDispatcher(scheduler)

    /** Time for which the process was paused: both clocks went on, but its timers did not fire. */
    var pausedMillis = 0L

    /** Time for which the VM was suspended: only the wall clock went on. */
    var suspendedMillis = 0L

    private val clock =
        object : Clock {
            override fun monotonicMillis(): Long = scheduler.currentTime + pausedMillis

            override fun wallMillis(): Long = monotonicMillis() + suspendedMillis
        }

    /** The key-value service, without the injected failures. */
    val memoryStore = MemoryKeyValueStore(clock)

    /** Number of listings. */
    var lists = 0

    /** Number of listings of all batches. */
    var searches = 0

    /** Number of writes. */
    var writes = 0

    /** Number of reads of single keys. */
    var reads = 0

    /** Whether listings fail. */
    var listsFail = false

    /** Whether writes fail without being applied. */
    var writesFail = false

    /** Whether writes are applied but their responses are lost. */
    var responsesLost = false

    /** After how many milliseconds writes are carried out, without a response; null if they are not late. */
    var lateMillis: Long? = null

    /** Runs when a write has taken effect and its response is on its way. */
    var onCommitted: suspend () -> Unit = { }

    /** Whether reads of single keys fail. */
    var readsFail = false

    /** Largest value that writes may have, in bytes. */
    var maxValueBytes = Int.MAX_VALUE

    /** Duration of a write, in milliseconds. */
    var writeMillis = 0L

    /** Duration of a read of a single key, in milliseconds. */
    var readMillis = 0L

    /** The registration of the process under test. */
    val registration = FixedRegistration(memoryStore)

    private val store =
        object : KeyValueStore by memoryStore {
            override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> {
                lists++
                if (prefix == GatewayKeys.BATCHES) searches++
                // Lets other coroutines run during the call, as a network call does.
                yield()
                return if (listsFail) unavailable else memoryStore.list(prefix)
            }

            override suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError> {
                reads++
                delay(readMillis)
                return if (readsFail) unavailable else memoryStore.get(key)
            }

            override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> {
                writes++
                return if (writesFail) {
                    unavailable
                } else if (isTooLarge(transaction)) {
                    Err(KeyValueError.Rejected("a value is too large"))
                } else if (lateMillis != null) {
                    commitLate(transaction)
                } else {
                    val outcome = memoryStore.commit(transaction)
                    onCommitted()
                    delay(writeMillis)
                    if (responsesLost) responseLost else outcome
                }
            }
        }

    private suspend fun commitLate(transaction: Transaction): Result<TransactionOutcome, KeyValueError> {
        val late = LateStore(memoryStore, scope)
        late.lateMillis = { lateMillis }
        return late.commit(transaction)
    }

    private fun isTooLarge(transaction: Transaction): Boolean =
        transaction.writes.filterIsInstance<Write.Put>().any { it.value.toByteArray().size > maxValueBytes }

    /** Peer connections to other processes. */
    val peers = MemoryPeers()

    /** Requests to targets. */
    val client = ScriptedTargetClient()

    /** The process under test. */
    var self = GatewayMember(NodeId("self"), 2, DataCentre("x"), "self:1", "self:2", ready = true)

    /** State that the process under test knows. */
    val gatewayState = GatewayState()

    /** Dependencies of the process under test; set by [batches]. */
    lateinit var shared: TargetDependencies
        private set

    /** Answers reward calls. */
    var forward: suspend (CallerRequest, Route) -> ForwardOutcome = { _, _ -> error("no reward call is expected") }

    /** Settings of the process under test. */
    var settings = BatchSettings()

    /** Whether the process under test counts its fleet as large. */
    var largeFleet = false

    /** Decisions of the process under test. */
    val journal = Journal(NodeId("self"), clock)

    /** Id of [record]. */
    val id = BatchId("b")

    /** A batch of one item. */
    val record: BatchRecord get() = record(id.value, 1)

    /** Route of all batches. */
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

    /** Route of all reward calls. */
    val rewardRoute = route.copy(name = "score", pathPrefix = "/score/", kind = RouteKind.IDEMPOTENT, batch = null)

    private lateinit var scope: CoroutineScope

    /** Creates the object under test in the background of [scope], with [route] and only [self] as member. */
    fun batches(scope: TestScope): Batches {
        this.scope = scope.backgroundScope
        gatewayState.routes.update { RouteTable(ConfigurationRevision(1), listOf(route, rewardRoute)) }
        gatewayState.members.update { MemberList(mapOf(self.id to self)) }
        val loads = TargetLoads()
        shared =
            TargetDependencies(
                gatewayState = gatewayState,
                client = client,
                protocol = HeaderProtocol,
                loads = loads,
                clock = clock,
                random = Random(1),
                journal = journal,
                dataCentre = self.dataCentre,
                metrics = GatewayMetrics(),
                limits = TargetLimits(self.id, gatewayState, loads, journal),
                isLargeFleet = { largeFleet },
            )
        val dependencies =
            BatchDependencies(
                self = { self },
                store = store,
                registration = registration,
                peers = peers,
                shared = shared,
                forwarder = { request, route -> forward(request, route) },
            )
        return Batches(dependencies, settings, scope.backgroundScope, dispatcher)
    }

    /** Sets the members to this process and [others]. */
    suspend fun setMembers(
        batches: Batches,
        vararg others: GatewayMember,
    ) {
        gatewayState.members.update { MemberList((others.toList() + self).associateBy { it.id }) }
        batches.membersChanged()
    }

    /** Removes all routes. */
    fun removeRoutes(): Unit = setRoutes(emptyList())

    /** Replaces the routes by [routes]. */
    fun setRoutes(routes: List<Route>) {
        gatewayState.routes.update { RouteTable(ConfigurationRevision(it.revision.value + 1), routes) }
    }

    /** An entry process that is the assigned owner of [route] when it and this process are members. */
    fun memberAssignedOverSelf(): GatewayMember =
        (1..100)
            .map { NodeId("other$it") }
            .first { ownerOf(route.name, listOf(self.id, it)) == it }
            .let { GatewayMember(it, 1, DataCentre("x"), "${it.value}:1", "${it.value}:2", ready = true) }

    /** Stores a batch [id] of one item as owned by [owner] in [incarnation]. */
    suspend fun storeBatch(
        owner: String,
        incarnation: Long,
        ended: Boolean = false,
        id: String = this.id.value,
    ) {
        val ownership = BatchOwnership(NodeId(owner), incarnation, "n", 0, 1, 0, route.name, ended)
        val retries = RetrySchedule(clock, Random(1), Long.MAX_VALUE)
        val creator = BatchCreator(memoryStore, FixedRegistration(memoryStore, "creator"), 1_000)
        creator.create(record(id, 1), ownership, retries)
    }

    /** Whether the items of batches have reward calls. */
    var rewarded = false

    private fun reward(item: Int) =
        RewardCall(RequestId("call-$item"), "h", "/score/$item", "AAAA").takeIf { rewarded }

    /** A batch [id] with [items] items. */
    fun record(
        id: String,
        items: Int,
    ): BatchRecord {
        val specs = (1..items).map { ItemSpec(ItemId("$id-$it"), "g", "/item/$it", emptyList(), "", 1, reward(it)) }
        return BatchRecord(BatchId(id), "h", "/batch/", null, 0, WeightVersion(1), 1, specs)
    }

    /** Registers one engine with [slots] slots. Without it no item can be sent. */
    suspend fun registerEngine(
        batches: Batches,
        slots: Int,
    ) {
        val engine = Target(TargetId("engine"), ServiceName("s"), "engine:1", self.dataCentre, slots, draining = false)
        gatewayState.targets.update { it.next(mapOf(engine.id to engine), clock.monotonicMillis()) }
        batches.targetsChanged()
    }

    override fun close(): Unit = client.close()

    /** Responses are signed in a header, and generated by the first version of the weights. */
    private object HeaderProtocol : TargetProtocol {
        override fun request(
            call: TargetCall,
            target: Target,
        ): TargetRequest = TargetRequest(call.method, call.path, call.headers, call.body)

        override fun read(head: ResponsePart.Head): ResponseMetadata =
            ResponseMetadata(notRun = false, head.headers.valueOf("signature"), load = null, version = 1)

        override fun eventVersion(fields: Map<String, String>): Long? = null
    }

    private companion object {
        private val responseLost = Err(KeyValueError.Unavailable("response lost", mayHaveApplied = true))
        private val unavailable = Err(KeyValueError.Unavailable("call refused", mayHaveApplied = false))
    }
}
