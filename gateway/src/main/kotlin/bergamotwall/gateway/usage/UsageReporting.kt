package bergamotwall.gateway.usage

import bergamotwall.decisions.duties.UsageWindows
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.gateway.duties.LeaderTerm
import bergamotwall.gateway.duties.LeadershipVacancy
import bergamotwall.gateway.duties.TermPhase
import bergamotwall.gateway.duties.TermTiming
import bergamotwall.gateway.members.leaderCandidates
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.NodeId
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.UsageReceived
import bergamotwall.model.UsageStarts
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
 * Reports how many runs of callers' requests started: records those of this process, pushes them to the leader, and
 * reports those of all processes while this process is the leader. Its state is confined to [context], which must run
 * on one thread, also for the scope of [start].
 */
public class UsageReporting(
    private val dependencies: UsageDependencies,
    private val settings: UsageSettings,
    private val context: CoroutineContext = EmptyCoroutineContext,
) {
    private val clock = dependencies.clock
    private val windows =
        UsageWindows(settings.windowSeconds * MILLIS_PER_SECOND, settings.lateSeconds * MILLIS_PER_SECOND)
    private val keys = LeadershipKeys(GatewayKeys.USAGE_LEADER, GatewayKeys.LAST_USAGE_LEADER)
    private val vacancy =
        LeadershipVacancy(keys, dependencies.node, clock) {
            leaderCandidates(dependencies.gatewayState.members.read(), dependencies.sharedFromMembers)
        }
    private val leadership =
        Leadership(
            "usage",
            LeadershipDependencies(dependencies.node, dependencies.store, clock, dependencies.journal),
            settings.leaseTtlSeconds,
            keys,
            watched = { vacancy.watched },
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
            receivers = "usage_api",
        )
    private val metrics = UsageMetrics(dependencies.metrics) { leader?.unsent?.size ?: 0 }
    private val recorded = RecordedStarts(clock, dependencies.driver.workspaceOf, metrics::started)
    private val mirrored = MirroredStarts(clock)
    private val pusher = UsagePusher(dependencies, recorded, mirrored, vacancy::leader, ::receive)
    private val sender = UsageSender(dependencies, leadership, term.orders, metrics)

    @Volatile
    private var leader: UsageLeader? = null
    private var deciding: Job? = null
    private var sending: Job? = null

    /** Records the starts at targets. */
    public val recorder: StartRecorder get() = recorded

    /** Applies the [entries] that all processes watch. */
    public fun onStoreChanged(entries: Map<String, KeyValueEntry>): Unit = vacancy.onStoreChanged(entries)

    /** Starts to push and to report in [scope]. [eligible]: whether this process may become the leader. */
    public fun start(
        scope: CoroutineScope,
        eligible: () -> Boolean = { true },
    ) {
        scope.launchSupervised("usage_push") {
            while (true) {
                pusher.step()
                delay(settings.pushMillis)
            }
        }
        scope.launchSupervised("usage_report") {
            while (true) {
                step(this, eligible())
                delay(settings.periodMillis)
            }
        }
    }

    /** Handles a message of another process; returns null if it is not about usage. */
    public suspend fun handle(message: PeerMessage): PeerMessage? =
        if (message is UsageStarts) withContext(context) { receive(message) } else null

    /** Gives up the leadership. */
    public suspend fun release(): Unit = withContext(context) { leadership.release() }

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
                ?: UsageLeader(dependencies, windows, metrics, holding.fence).also {
                    leader = it
                    sender.termBegins()
                }
        if (current.lost) return leadership.release()
        term.cutOff = sender.silentForMillis >= settings.silenceMillis || current.hearsNobody
        if (deciding?.isActive != true) deciding = scope.launch { current.decide() }
        if (phase == TermPhase.ACTING && sending?.isActive != true) sending = scope.launch { sender.sendAll(current) }
    }

    private suspend fun receive(message: UsageStarts): PeerMessage {
        val current = leader
        return when {
            !isWellFormed(message) -> refusal("malformed starts", ProblemKind.BAD_REQUEST)
            message.mirrored -> UsageReceived(mirrored.keep(message))
            current != null -> UsageReceived(current.receive(message))
            message.relayed -> refusal("this process does not report usage")
            else -> relay(message)
        }
    }

    /** Passes [message] on to the leader, which its sender may not reach, or not know yet. */
    private suspend fun relay(message: UsageStarts): PeerMessage {
        val id = vacancy.leader?.value?.let { NodeId(it) }
        val member = dependencies.gatewayState.members.read().members[id].takeIf { id != dependencies.node }
        val response = member?.let {
            dependencies.peers.sendRequest(it.peerAddress, message.copy(relayed = true), RELAY_TIMEOUT_MILLIS).get()
        }
        return response ?: refusal("the leader that reports usage is not reached")
    }

    private fun refusal(
        text: String,
        kind: ProblemKind = ProblemKind.UNAVAILABLE,
    ): PeerMessage = PeerRefusal(Problem(kind, text))

    private fun isWellFormed(message: UsageStarts): Boolean =
        message.workspaceIndexes.size == message.agesMillis.size &&
            message.workspaceIndexes.all { it in message.workspaces.indices } &&
            message.firstSequence >= 0 && message.oldestSequence >= 0

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L

        /** Shorter than the time for which the sender of a message waits. */
        private const val RELAY_TIMEOUT_MILLIS = 600L
    }
}
