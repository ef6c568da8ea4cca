package bergamotwall.gateway.usage

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.model.NodeId
import bergamotwall.model.PeerMessage
import bergamotwall.model.UsageReceived
import bergamotwall.model.UsageStarts
import com.github.michaelbull.result.get
import org.tinylog.Logger

/**
 * Pushes the starts of this process to the leader, [leaderEntry] being its lease's entry: directly, or over another
 * process while the leader can't be reached. [toSelf] takes the message if this process is the leader. Not thread-safe.
 */
internal class UsagePusher(
    private val dependencies: UsageDependencies,
    private val recorded: RecordedStarts,
    private val mirrored: MirroredStarts,
    private val leaderEntry: () -> KeyValueEntry?,
    private val toSelf: suspend (UsageStarts) -> PeerMessage,
) {
    private val mirror = LeaderMirror(dependencies, recorded)
    private var leaderRevision = 0L
    private var pushedSequence = 0L
    private var pushedAtMillis = NEVER
    private var relayUntilMillis = NEVER

    /** Pushes what is new, or only this process's clock if it is time to. */
    suspend fun step() {
        val entry = leaderEntry() ?: return
        if (entry.createRevision != leaderRevision) {
            leaderRevision = entry.createRevision
            pushedSequence = 0
            pushedAtMillis = NEVER
            relayUntilMillis = NEVER
        }
        val leader = NodeId(entry.value)
        if (due()) pushOwn(leader)
        pushMirrored(leader)
        if (leader == dependencies.node) mirror.step()
    }

    private suspend fun pushOwn(leader: NodeId) {
        do {
            val message = recorded.push(dependencies.node, dependencies.incarnation, pushedSequence)
            val response = send(leader, message)
            if (response is UsageReceived) {
                pushedSequence = response.nextSequence
                pushedAtMillis = message.sentAtMillis
            }
            val more = response is UsageReceived && message.agesMillis.size == RecordedStarts.MAX_PUSHED
        } while (more)
    }

    /** Tells [leader] what is kept of its predecessor. */
    private suspend fun pushMirrored(leader: NodeId) {
        val message = mirrored.push() ?: return
        val member = dependencies.gatewayState.members.read().find(leader, message.incarnation)
        if (member?.id == message.node) return
        if (send(leader, message) is UsageReceived) mirrored.clear()
    }

    private fun due(): Boolean {
        val elapsedMillis = dependencies.clock.monotonicMillis() - pushedAtMillis
        return when {
            pushedAtMillis == NEVER || pushedSequence < recorded.nextSequence -> true
            recorded.active -> elapsedMillis >= ACTIVE_MILLIS
            else -> elapsedMillis >= IDLE_MILLIS
        }
    }

    private suspend fun send(
        leader: NodeId,
        message: UsageStarts,
    ): PeerMessage? {
        if (leader == dependencies.node) return toSelf(message)
        val members = dependencies.gatewayState.members.read().members
        val nowMillis = dependencies.clock.monotonicMillis()
        val direct = members[leader]?.takeIf { nowMillis >= relayUntilMillis }
        val response = (direct ?: relay(members, leader))?.let { receiver ->
            dependencies.peers.sendRequest(receiver.peerAddress, message, TIMEOUT_MILLIS).get()
        }
        if (direct != null && response == null) {
            relayUntilMillis = dependencies.clock.monotonicMillis() + RELAY_MILLIS
            Logger.warn("event=usage_leader_unreachable leader={}", leader.value)
        }
        return response
    }

    private fun relay(
        members: Map<NodeId, GatewayMember>,
        leader: NodeId,
    ): GatewayMember? =
        members.values.filter { it.id != leader && it.id != dependencies.node }.randomOrNull(dependencies.random)

    private companion object {
        private const val NEVER = Long.MIN_VALUE / 2

        /** Together with a second attempt, less than the time after which a window is decided. */
        private const val TIMEOUT_MILLIS = 800L

        /** A leader waits for a message after the end of the window from processes that had starts lately. */
        private const val ACTIVE_MILLIS = 1_000L

        /** Often enough for this process's clock to count, and rare enough for hundreds of processes without starts. */
        private const val IDLE_MILLIS = 5_000L

        /** How long messages take the way over another process after the direct one failed. */
        private const val RELAY_MILLIS = 5_000L
    }
}
