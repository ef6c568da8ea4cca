package bergamotwall.gateway.scaling

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.model.Done
import bergamotwall.model.NodeId
import bergamotwall.model.ScalingDemand
import bergamotwall.model.ServiceDemand
import com.github.michaelbull.result.get

/**
 * Reports the demand at this process to the leader: to a new one at once, then if it has changed, and at intervals
 * while there is any. A leader that is not reached directly gets the report over another process. Not thread-safe.
 */
internal class DemandReporter(private val dependencies: ScalingDependencies) {
    private val clock = dependencies.clock
    private var leaderRevision = 0L
    private var reported: List<ServiceDemand>? = null
    private var reportedAtMillis = 0L

    /** Reports [demand] to the leader of the lease's [entry] if it has to know. */
    suspend fun step(
        demand: List<ServiceDemand>,
        entry: KeyValueEntry?,
    ) {
        if (entry == null || entry.value == dependencies.node.value) return
        if (entry.createRevision != leaderRevision) {
            leaderRevision = entry.createRevision
            reported = null
        }
        val before = reported
        val repeats = demand.isNotEmpty() && clock.monotonicMillis() - reportedAtMillis >= REPEAT_MILLIS
        if (before != null && !repeats && !LocalDemand.differs(demand, before)) return
        if (send(NodeId(entry.value), demand)) {
            reported = demand
            reportedAtMillis = clock.monotonicMillis()
        }
    }

    private suspend fun send(
        leader: NodeId,
        demand: List<ServiceDemand>,
    ): Boolean {
        val members = dependencies.gatewayState.members.read().members
        val message = ScalingDemand(dependencies.node, demand)
        val direct = members[leader]
        val relay = members.values.filter { it.id != leader && it.id != dependencies.node }
            .randomOrNull(dependencies.random)
        return listOfNotNull(direct, relay).any { receiver ->
            dependencies.peers.sendRequest(receiver.peerAddress, message, TIMEOUT_MILLIS).get() == Done
        }
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 800L

        /** Due times and durations change slowly; the leader takes off the time that has passed. */
        private const val REPEAT_MILLIS = 5_000L
    }
}
