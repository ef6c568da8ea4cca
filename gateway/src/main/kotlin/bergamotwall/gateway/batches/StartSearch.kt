package bergamotwall.gateway.batches

import bergamotwall.decisions.rankOf
import bergamotwall.gateway.members.isAssignedOwner

/**
 * Which processes of a large fleet search, once they have started, for batches that were orphaned before. The assigned
 * owners of the routes do, as they adopt the orphans, and a few others, in case these fail to. Confined to the batch
 * loop.
 */
internal class StartSearch(private val dependencies: BatchDependencies) {
    /** Whether this process has listed the batches since its start. */
    var done = false

    /** Whether a batch may have lost its owner since this process started. */
    var orphansExpected = false

    /** Whether this process is to search, in a large fleet. */
    val due: Boolean get() = !done && dependencies.shared.isLargeFleet() && searches()

    /** Whether a search by this process can only find what other processes of a large fleet search for. */
    val leftToOthers: Boolean
        get() = !done && !orphansExpected && dependencies.shared.isLargeFleet() && !searches()

    private fun searches(): Boolean {
        val gatewayState = dependencies.shared.gatewayState
        val self = dependencies.self().id
        val ready = gatewayState.members.read().members.values.filter { it.ready && it.frontAddress != null }
        return rankOf("orphans", self, ready.map { it.id }) < OTHER_SEARCHERS || isAssignedOwner(self, gatewayState)
    }

    private companion object {
        /** Enough that one of them has a path to the service when an assigned owner has none. */
        private const val OTHER_SEARCHERS = 3
    }
}
