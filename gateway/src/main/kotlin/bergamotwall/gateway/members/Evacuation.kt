package bergamotwall.gateway.members

import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.gateway.GatewayState
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Journal
import bergamotwall.runtime.launchSupervised
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/** Dependencies of [Evacuation]. [report] builds the write that reports to the operator that a VM is empty. */
public data class EvacuationDependencies(
    public val self: NodeId,
    public val gatewayState: GatewayState,
    public val store: KeyValueStore,
    public val report: (NodeId) -> Write.Put,
    public val clock: Clock,
    public val journal: Journal,
)

/**
 * Evacuates VMs that an operator wants to remove, and reports when they are empty.
 *
 * A VM holds no durable state: it is empty once its process has released its batches. Each process reports its own VM.
 * If the process of a VM is not registered for [MISSING_MILLIS], the process chosen by rendezvous hashing reports it.
 */
public class Evacuation(
    private val dependencies: EvacuationDependencies,
    private val releaseBatches: suspend () -> Unit
) {
    private val changes = Channel<Unit>(Channel.CONFLATED)
    private val reported = HashSet<NodeId>()
    private val missingSinceMillis = HashMap<NodeId, Long>()

    /** Starts evacuations in [scope], which must be confined to one thread. */
    public fun start(scope: CoroutineScope): Job =
        scope.launchSupervised("evacuation") {
            while (true) {
                if (step()) withTimeoutOrNull(RECHECK_MILLIS) { changes.receive() } else changes.receive()
            }
        }

    /** Notifies that the evacuation requests or the members have changed. */
    public fun changed() {
        changes.trySend(Unit)
    }

    /** Advances all evacuations; returns whether any is left to report. */
    private suspend fun step(): Boolean {
        val requested = dependencies.gatewayState.evacuations.read()
        reported.retainAll(requested)
        missingSinceMillis.keys.retainAll(requested)
        (requested - reported).forEach { id ->
            if (id == dependencies.self) releaseBatches()
            if (id == dependencies.self || assignedToSelf(id)) report(id)
        }
        return (requested - reported).isNotEmpty()
    }

    /** Whether the process of VM [id] is missing, and this process is the one to report the VM. */
    private fun assignedToSelf(id: NodeId): Boolean {
        val members = dependencies.gatewayState.members.read()
        val nowMillis = dependencies.clock.monotonicMillis()
        if (id in members.members) missingSinceMillis.remove(id) else missingSinceMillis.putIfAbsent(id, nowMillis)
        val missing = missingSinceMillis[id]?.let { nowMillis - it >= MISSING_MILLIS } ?: false
        return missing && assignedOwnerOf(members, id.value)?.id == dependencies.self
    }

    private suspend fun report(id: NodeId) {
        dependencies.store.commit(Transaction(emptyList(), listOf(dependencies.report(id)))).fold(
            success = {
                reported += id
                val rule =
                    if (id == dependencies.self) "its batches are released" else "its process is no longer registered"
                dependencies.journal.record(Decision("vm/${id.value}", "evacuated", rule, "requested by an operator"))
            },
            failure = { Logger.warn("event=evacuation_not_reported vm={} cause=\"{}\"", id.value, it.detail) },
        )
    }

    private companion object {
        private const val RECHECK_MILLIS = 1_000L

        /** A process that was killed restarts and registers again within this time. */
        private const val MISSING_MILLIS = 5_000L
    }
}
