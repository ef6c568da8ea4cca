package bergamotwall.gateway.scaling

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.gateway.duties.LeaderTerm
import bergamotwall.gateway.duties.LeadershipVacancy
import bergamotwall.gateway.duties.TermPhase
import bergamotwall.gateway.duties.TermTiming
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.Done
import bergamotwall.model.NodeId
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.ScalingDemand
import bergamotwall.runtime.Leadership
import bergamotwall.runtime.LeadershipDependencies
import bergamotwall.runtime.LeadershipKeys
import bergamotwall.runtime.launchSupervised
import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.EmptyCoroutineContext

/**
 * Orders targets of the services whose configuration says so: reports the demand at this process to the leader, and
 * orders targets while this process is the leader, which it becomes only if the task is assigned to it. Its state is
 * confined to [context], which must run on one thread, also for the scope of [start].
 */
internal class TargetScaling(
    private val dependencies: ScalingDependencies,
    private val settings: ScalingSettings,
    private val context: CoroutineContext = EmptyCoroutineContext,
) {
    private val clock = dependencies.clock
    private val keys = LeadershipKeys(GatewayKeys.SCALING_LEADER, GatewayKeys.LAST_SCALING_LEADER)
    private val leadership =
        Leadership(
            "scaling",
            LeadershipDependencies(dependencies.node, dependencies.store, clock, dependencies.journal),
            settings.leaseTtlSeconds,
            keys,
        )

    /**
     * The previous leader stops acting before its lease ends, which has happened when the leadership is free. A call
     * that it sent last is given up after its timeout.
     */
    private val term =
        LeaderTerm(
            leadership,
            clock,
            TermTiming(
                predecessorWaitMillis = settings.pauseMillis + settings.callTimeoutMillis,
                pauseMillis = settings.pauseMillis,
                abstainMillis = settings.abstainMillis,
            ),
            receivers = "scaling_api",
        )
    private val vacancy = LeadershipVacancy(keys, dependencies.node, clock)
    private val metrics = ScalingMetrics(dependencies.metrics) { leader?.numbers.orEmpty() }
    private val local = LocalDemand(dependencies)
    private val reporter = DemandReporter(dependencies)

    @Volatile
    private var leader: ScalingLeader? = null
    private var acting: Job? = null

    private val isConfigured: Boolean
        get() = dependencies.gatewayState.routes.read().services.any { it.scaling != null }

    /** Applies the [entries] that all processes watch. */
    fun onStoreChanged(entries: Map<String, KeyValueEntry>): Unit = vacancy.onStoreChanged(entries)

    /** Starts to report and to order in [scope]. [eligible]: whether this process may become the leader. */
    fun start(
        scope: CoroutineScope,
        eligible: () -> Boolean = { true },
    ) {
        scope.launchSupervised("scaling_demand") {
            while (true) {
                report()
                delay(settings.reportMillis)
            }
        }
        scope.launchSupervised("scaling") {
            while (true) {
                step(this, settings.enabled && isConfigured && eligible())
                delay(settings.periodMillis)
            }
        }
    }

    /** Handles a message of another process; returns null if it is not about ordering targets. */
    suspend fun handle(message: PeerMessage): PeerMessage? =
        if (message is ScalingDemand) withContext(context) { receive(message) } else null

    /** Gives up the leadership. */
    suspend fun release(): Unit = withContext(context) { leadership.release() }

    private suspend fun report() {
        // Read in any case: runs whose end nobody observed are dropped by it.
        val demand = local.read()
        if (!isConfigured) return
        leader?.receive(dependencies.node, demand)
        reporter.step(demand, vacancy.leader)
    }

    private suspend fun step(
        scope: CoroutineScope,
        eligible: Boolean,
    ) {
        val phase = term.step(eligible && vacancy.shouldAcquire(), hasPaths = true)
        val holding = leadership.holding
        if (holding == null) {
            leader = null
            return
        }
        val current =
            leader?.takeIf { it.fence == holding.fence }
                ?: ScalingLeader(
                    dependencies,
                    settings,
                    ScalingSender(dependencies, settings, leadership, term.orders, metrics, holding.fence),
                ).also { leader = it }
        if (current.lost) return leadership.release()
        term.cutOff = current.sender.silentForMillis >= settings.silenceMillis
        current.observe()
        if (phase == TermPhase.ACTING && acting?.isActive != true) acting = scope.launch { current.act() }
    }

    private suspend fun receive(message: ScalingDemand): PeerMessage {
        val current = leader
        return when {
            current != null -> {
                current.receive(message.node, message.services)
                Done
            }
            message.relayed -> refusal("this process does not order targets")
            else -> relay(message)
        }
    }

    /** Passes [message] on to the leader, which its sender may not reach. */
    private suspend fun relay(message: ScalingDemand): PeerMessage {
        val id = vacancy.leader?.value?.let { NodeId(it) }
        val member = dependencies.gatewayState.members.read().members[id].takeIf { id != dependencies.node }
        val response = member?.let {
            dependencies.peers.sendRequest(it.peerAddress, message.copy(relayed = true), RELAY_TIMEOUT_MILLIS).get()
        }
        return response ?: refusal("the leader that orders targets is not reached")
    }

    private fun refusal(text: String): PeerMessage = PeerRefusal(Problem(ProblemKind.UNAVAILABLE, text))

    private companion object {
        /** Shorter than the time for which the sender of a message waits. */
        private const val RELAY_TIMEOUT_MILLIS = 600L
    }
}
