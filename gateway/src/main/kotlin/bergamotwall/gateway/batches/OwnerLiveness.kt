package bergamotwall.gateway.batches

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.model.Alive
import bergamotwall.model.BatchOwnership
import bergamotwall.model.CheckAlive
import bergamotwall.model.NodeId
import com.github.michaelbull.result.get

/** Asks owners of batches whether they run, at their last known addresses. Confined to the batch loop. */
internal class OwnerLiveness(private val dependencies: BatchDependencies) {
    private val lastKnownAddresses = HashMap<NodeId, String>()

    /** Takes the addresses of the current [members]. */
    fun membersChanged(members: Collection<GatewayMember>) {
        members.forEach { lastKnownAddresses[it.id] = it.peerAddress }
    }

    /**
     * A process whose lease expired may still run: it continues its batches while the key-value service refuses its
     * calls or does not respond.
     */
    suspend fun responds(ownership: BatchOwnership): Boolean {
        val address = lastKnownAddresses[ownership.owner]
        if (address == null || ownership.owner == dependencies.self().id) return false
        val response = dependencies.peers.sendRequest(address, CheckAlive, TIMEOUT_MILLIS).get()
        return response == Alive(ownership.incarnation)
    }

    private companion object {
        /** Allows several round trips between data centres. */
        private const val TIMEOUT_MILLIS = 500L
    }
}
