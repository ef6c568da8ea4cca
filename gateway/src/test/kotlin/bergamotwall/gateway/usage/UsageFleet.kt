package bergamotwall.gateway.usage

import bergamotwall.decisions.duties.UsageWindows
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.forwarding.CallerRequest
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.DataCentre
import bergamotwall.model.Done
import bergamotwall.model.NodeId
import bergamotwall.model.RequestId
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
import java.util.TreeMap
import kotlin.random.Random

/**
 * Processes that report usage to [api], in virtual time. One start is recorded every [START_MILLIS], by each process in
 * turn, at least half a second from the borders of windows.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class UsageFleet(private val test: TestScope) {
    val windows = UsageWindows(SETTINGS.windowSeconds * 1_000, SETTINGS.lateSeconds * 1_000)
    val store = MemoryKeyValueStore(TestClock(0, 0))
    val peers = MemoryPeers()
    val api = FakeUsageApi { test.currentTime }

    /** Wall clocks of the processes less true time; their median is right. */
    private val skews = listOf(-900L, -30L, 0L, 40L, 2_500L)
    val nodes = skews.mapIndexed { index, skew -> Node(index, skew) }

    /** Starts by window and workspace, in true time. */
    val started = TreeMap<Long, MutableMap<String, Int>>()

    /** The process that has the lease. */
    suspend fun leader(): Node? =
        store.get(GatewayKeys.USAGE_LEADER).get()?.let { entry -> nodes.first { it.id.value == entry.value } }

    fun start() {
        api.beforeSend = { holder -> nodes.first { it.id == holder }.callGate.await() }
        nodes.forEach { it.start() }
        test.backgroundScope.launch {
            var next = 0
            while (true) {
                delay(START_MILLIS)
                val inWindow = trueMillis() - windows.beginMillis(windows.at(trueMillis()))
                if (inWindow in BORDER_MILLIS..windows.windowMillis - BORDER_MILLIS) nodes[next++ % nodes.size].run()
            }
        }
    }

    fun trueMillis(): Long = EPOCH_MILLIS + test.currentTime

    inner class TestClock(private val monotonicSkewMillis: Long, var wallSkewMillis: Long) : Clock {
        override fun monotonicMillis(): Long = test.currentTime + monotonicSkewMillis

        override fun wallMillis(): Long = trueMillis() + wallSkewMillis
    }

    inner class Node(index: Int, skewMillis: Long) {
        val id = NodeId("n$index")
        val clock = TestClock(index * 1_000_000L, skewMillis)
        private val job = Job(test.backgroundScope.coroutineContext[Job])
        private val scope = CoroutineScope(test.backgroundScope.coroutineContext + job)
        private val state = GatewayState()
        private val usage =
            UsageReporting(
                UsageDependencies(
                    id,
                    1,
                    state,
                    GatedStore(store) { gate.await() },
                    peers,
                    UsageDriver(api) { it.path },
                    clock,
                    Random(index),
                    Journal(id, clock),
                    GatewayMetrics(),
                ),
                SETTINGS,
            )
        private var runs = 0

        /** Completed unless the process is paused. */
        private var gate = CompletableDeferred(Unit)

        /** Completed unless calls of the API wait. */
        var callGate = CompletableDeferred(Unit)
            private set

        /** Whether the starts of this process count as true; not those that were lost with it. */
        var alive = true

        fun start() {
            val members = skews.indices.map { GatewayMember(NodeId("n$it"), 1, DataCentre("x"), "n$it") }
            state.members.update { MemberList(members.associateBy { it.id }) }
            peers.connect(id.value) { message, _ ->
                withTimeoutOrNull(PEER_TIMEOUT_MILLIS) {
                    gate.await()
                    usage.handle(message)
                } ?: Done
            }
            scope.launch {
                while (true) {
                    store.list(GatewayKeys.LIVE).get()?.let { listing ->
                        usage.onStoreChanged(listing.entries.associateBy { it.key })
                    }
                    delay(WATCH_MILLIS)
                }
            }
            usage.start(scope)
        }

        /** A run of a caller's request starts. */
        fun run() {
            if (!alive) return
            val workspace = "w${runs++ % 3}"
            val nowMillis = clock.monotonicMillis()
            val request =
                CallerRequest(RequestId("r"), "GET", workspace, emptyList(), ByteArray(0), nowMillis, nowMillis + 1)
            usage.recorder.sent(request, nowMillis, streamed = false).run {
                started(nowMillis)
                ended()
            }
            started.getOrPut(windows.at(trueMillis())) { TreeMap() }.merge(workspace, 1, Int::plus)
        }

        /** Lets calls of the API wait before they are sent. */
        fun holdCalls() {
            callGate = CompletableDeferred()
        }

        /** Stops the process until [resume]: it renews no lease, takes no messages and serves no callers. */
        fun pause() {
            alive = false
            gate = CompletableDeferred()
        }

        fun resume() {
            alive = true
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
        val SETTINGS = UsageSettings("api:1")
        const val START_MILLIS = 100L
        private const val BORDER_MILLIS = 500L
        private const val WATCH_MILLIS = 100L
        private const val PEER_TIMEOUT_MILLIS = 800L
        private const val EPOCH_MILLIS = 1_767_225_600_000
    }
}
