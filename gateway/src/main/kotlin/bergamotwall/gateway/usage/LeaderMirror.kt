package bergamotwall.gateway.usage

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.model.NodeId
import bergamotwall.model.UsageReceived
import com.github.michaelbull.result.get

/**
 * Keeps the starts of this process, while it is the leader, at one other process, for the next leader. Not thread-safe.
 */
internal class LeaderMirror(
    private val dependencies: UsageDependencies,
    private val recorded: RecordedStarts,
) {
    private var mirror: NodeId? = null
    private var mirroredSequence = 0L

    /** Sends what is new, up to [RecordedStarts.MAX_PUSHED] starts, to the mirror, or chooses another one. */
    suspend fun step() {
        val member = chooseMirror() ?: return
        if (mirroredSequence == recorded.nextSequence) return
        val message =
            recorded.push(dependencies.node, dependencies.incarnation, mirroredSequence).copy(mirrored = true)
        val response = dependencies.peers.sendRequest(member.peerAddress, message, TIMEOUT_MILLIS).get()
        if (response is UsageReceived) mirroredSequence = response.nextSequence else mirror = null
    }

    private fun chooseMirror(): GatewayMember? {
        val members = dependencies.gatewayState.members.read().members - dependencies.node
        val current = members[mirror]
        if (current != null) return current
        mirroredSequence = 0
        return members.values.randomOrNull(dependencies.random)?.also { mirror = it.id }
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 500L
    }
}
