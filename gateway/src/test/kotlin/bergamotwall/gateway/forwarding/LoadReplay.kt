package bergamotwall.gateway.forwarding

import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.crashes.CrashGuard
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.routes.ServiceShare
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.targets.TargetLimits
import bergamotwall.gateway.targets.TargetList
import bergamotwall.gateway.targets.TargetLoads
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.model.RequestId
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlin.math.ln
import kotlin.random.Random

/** Forwards requests in the virtual time of a test to targets that are called `t0`, `t1` and so on. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class LoadReplay(
    private val scope: TestScope,
    targetCount: Int,
    slots: Int,
    kind: RouteKind,
    hedging: HedgeSettings?,
    simulate: (Clock) -> SimulatedTargets,
) {
    private val clock =
        object : Clock {
            override fun monotonicMillis(): Long = scope.currentTime

            override fun wallMillis(): Long = scope.currentTime
        }
    private val service = ServiceName("s")
    private val route = Route("r", "h", "/", kind, 20_000, 600, 1, 3, false, listOf(ServiceShare(service, 1)))
    val targets = simulate(clock)
    val metrics = GatewayMetrics()
    private val forwarder: Forwarder

    /** Durations of the requests so far, in the order of their ends. */
    val durations = ArrayList<Long>()

    init {
        val state = GatewayState()
        val list = List(targetCount) { Target(TargetId("t$it"), service, "t$it", DataCentre("x"), slots, false) }
        state.targets.update { TargetList(list.associateBy { it.id }) }
        val loads = TargetLoads()
        val journal = Journal(NodeId("n"), clock)
        val dependencies =
            TargetDependencies(
                gatewayState = state,
                client = targets,
                protocol = targets.Protocol(),
                loads = loads,
                clock = clock,
                random = Random(1),
                journal = journal,
                dataCentre = DataCentre("x"),
                metrics = metrics,
                limits = TargetLimits(NodeId("n"), state, loads, journal),
            )
        forwarder = Forwarder(dependencies, CrashGuard.NONE, ForwardLimits(hedging = hedging))
    }

    /** Forwards [perSecond] requests a second, with random gaps, for [seconds]. */
    suspend fun run(
        perSecond: Int,
        seconds: Int,
    ) {
        val random = Random(2)
        val startMillis = scope.currentTime
        coroutineScope {
            var atMillis = 0.0
            while (atMillis < seconds * 1_000) {
                delay(startMillis + atMillis.toLong() - scope.currentTime)
                launch { forward() }
                atMillis -= ln(1 - random.nextDouble()) * 1_000 / perSecond
            }
        }
    }

    private var number = 0

    private suspend fun forward() {
        val now = scope.currentTime
        val request = CallerRequest(RequestId("r${number++}"), "GET", "/", emptyList(), ByteArray(0), now, now + 20_000)
        check(forwarder.forward(request, route) is ForwardOutcome.Completed) { "no response" }
        durations += scope.currentTime - now
    }

    fun percentile(percent: Int): Long = durations.sorted()[(durations.size - 1) * percent / 100]
}
