package bergamotwall.gateway.scaling

import bergamotwall.decisions.scaling.ScalingPool
import bergamotwall.decisions.scaling.ScalingTerms
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.routes.TargetService
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetList
import bergamotwall.gateway.usage.GatedStore
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.DataCentre
import bergamotwall.model.Jsons
import bergamotwall.model.NodeId
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/**
 * Five processes that order targets of one service from [api], in virtual time. At the start, two regular targets of
 * [SLOTS] slots serve in each of three data centres.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ScalingFleet(private val test: TestScope, private val terms: ScalingTerms = TERMS) {
    val store = MemoryKeyValueStore(TestClock(0))
    val peers = MemoryPeers()
    val api = FakeScalingApi({ test.currentTime }, ::carryOut)

    /** Serving targets by pool. */
    val targets = HashMap(ZONES.associate { ScalingPool(it, spot = false) to 2 })

    /** Pools whose spot targets are being reclaimed. */
    val reclaimed = HashSet<ScalingPool>()

    /** Orders that were sent before they were stored. */
    val unstored = ArrayList<TargetOrder>()
    val nodes = List(NODES) { Node(it) }
    private val runs = ArrayList<WorkRecorder.Run>()

    val serving: Int get() = targets.filterKeys { it !in reclaimed }.values.sum()

    /** The process that has the lease. */
    suspend fun leader(): Node? =
        store.get(GatewayKeys.SCALING_LEADER).get()?.let { entry -> nodes.firstOrNull { it.id.value == entry.value } }

    fun start() {
        api.beforeSend = { holder -> nodes.first { it.id == holder }.callGate.await() }
        nodes.forEach { it.start() }
    }

    /** Makes [requests] run at targets, divided among the processes that are up. */
    fun load(requests: Int) {
        runs.forEach { it.ended(completed = true) }
        runs.clear()
        val up = nodes.filter { it.alive }
        repeat(requests) { runs += up[it % up.size].work.sent(SERVICE, test.currentTime, Long.MAX_VALUE / 2) }
    }

    /** Puts the name of [holder] into the lease's key, as another leader would. */
    suspend fun usurp(holder: String) {
        store.commit(Transaction(emptyList(), listOf(Write.Put(GatewayKeys.SCALING_LEADER, holder))))
    }

    suspend fun vacate() {
        store.commit(Transaction(emptyList(), listOf(Write.Delete(GatewayKeys.SCALING_LEADER))))
    }

    private suspend fun carryOut(order: TargetOrder) {
        val text = store.get(ScalingSubject(order.service, order.pool.dataCentre).key).get()?.value
        val record = text?.let { Jsons.wire.decodeFromString(ScalingRecord.serializer(), it) }
        if (!store.down && record?.of(order.pool) != order.desired) unstored += order
        val isLess = order.desired < (targets[order.pool] ?: 0)
        test.backgroundScope.launch {
            if (!isLess) delay(terms.startupMillis)
            targets[order.pool] = order.desired
        }
    }

    inner class TestClock(private val skewMillis: Long) : Clock {
        override fun monotonicMillis(): Long = test.currentTime + skewMillis

        override fun wallMillis(): Long = EPOCH_MILLIS + test.currentTime
    }

    inner class Node(index: Int) {
        val id = NodeId("n$index")
        private val clock = TestClock(index * 1_000_000L)
        private val job = Job(test.backgroundScope.coroutineContext[Job])
        private val scope = CoroutineScope(test.backgroundScope.coroutineContext + job)
        private val state = GatewayState()
        val work = WorkRecorder(clock, enabled = true)
        private val scaling =
            TargetScaling(
                ScalingDependencies(
                    id,
                    state,
                    GatedStore(store) { gate.await() },
                    peers,
                    api,
                    clock,
                    Random(index),
                    Journal(id, clock),
                    GatewayMetrics(),
                    work,
                    { emptyList() },
                    { null },
                ),
                SETTINGS,
            )

        /** Completed unless the process is paused. */
        private var gate = CompletableDeferred(Unit)

        /** Completed unless calls of the API wait. */
        var callGate = CompletableDeferred(Unit)
            private set
        var alive = true
            private set

        fun start() {
            val services = listOf(TargetService(SERVICE, 1, scaling = terms))
            state.routes.update { RouteTable(ConfigurationRevision(1), services = services) }
            peers.connect(id.value) { message, _ ->
                withTimeoutOrNull(PEER_TIMEOUT_MILLIS) {
                    gate.await()
                    scaling.handle(message)
                } ?: PeerRefusal(Problem(ProblemKind.UNAVAILABLE, "no response"))
            }
            scope.launch {
                while (true) {
                    follow()
                    delay(WATCH_MILLIS)
                }
            }
            scaling.start(scope)
        }

        private suspend fun follow() {
            store.list(GatewayKeys.LIVE).get()?.let { listing ->
                scaling.onStoreChanged(listing.entries.associateBy { it.key })
            }
            val members = nodes.filter { it.alive }.map { GatewayMember(it.id, 1, DataCentre("x"), it.id.value) }
            state.members.update { MemberList(members.associateBy { it.id }) }
            val registered =
                targets.flatMap { (pool, count) ->
                    List(count) {
                        val name = TargetId("${pool.dataCentre.value}${pool.spot}$it")
                        Target(name, SERVICE, "$name:1", pool.dataCentre, SLOTS, pool in reclaimed, spot = pool.spot)
                    }
                }
            state.targets.update { TargetList(registered.associateBy { it.id }) }
        }

        fun holdCalls() {
            callGate = CompletableDeferred()
        }

        /** Stops the process until [resume]: it renews no lease and takes no messages. */
        fun pause() {
            gate = CompletableDeferred()
        }

        fun resume() {
            gate.complete(Unit)
            callGate.complete(Unit)
        }

        fun kill() {
            alive = false
            job.cancel()
            peers.isolate(id.value)
        }
    }

    companion object {
        val SERVICE = ServiceName("s")
        val ZONES = listOf("a", "b", "c").map { DataCentre(it) }
        val TERMS = ScalingTerms(1, 8, 4_000, zonePrices = ZONES.zip(listOf(1.0, 0.8, 1.25)).toMap())
        val SETTINGS = ScalingSettings("api:1", listOf(ScalingSettings.DUTY))
        const val SLOTS = 4
        private const val NODES = 5
        private const val WATCH_MILLIS = 100L
        private const val PEER_TIMEOUT_MILLIS = 800L
        private const val EPOCH_MILLIS = 1_767_225_600_000
    }
}
