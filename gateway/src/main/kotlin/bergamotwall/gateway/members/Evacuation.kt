package bergamotwall.gateway.members

import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.gateway.GatewayBoard
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Journal
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/** What an evacuation needs; [report] is the write that tells the operator that a VM is empty. */
public data class EvacuationParts(
    public val self: NodeId,
    public val board: GatewayBoard,
    public val store: KeyValueStore,
    public val report: (NodeId) -> Write.Put,
    public val clock: Clock,
    public val journal: Journal,
)

/**
 * Empties a VM that an operator wants to take away, and reports that it is empty.
 *
 * Nothing durable is on a VM: it is empty once its process has released its batches. Each process reports its own VM;
 * one that has not been registered for a while is reported by the process that rendezvous hashing names.
 */
public class Evacuation(private val parts: EvacuationParts, private val release: suspend () -> Unit) {
    private val asked = Channel<Unit>(Channel.CONFLATED)
    private val reported = HashSet<NodeId>()
    private val missingSinceMillis = HashMap<NodeId, Long>()

    /** Starts the work in [scope], which must be confined to one thread. */
    public fun start(scope: CoroutineScope): Job =
        scope.launch {
            while (true) {
                if (step()) withTimeoutOrNull(RECHECK_MILLIS) { asked.receive() } else asked.receive()
            }
        }

    /** What operators ask for has changed. */
    public fun changed() {
        asked.trySend(Unit)
    }

    /** Goes on with all evacuations; true if one is left. */
    private suspend fun step(): Boolean {
        val wanted = parts.board.evacuations.read()
        reported.retainAll(wanted)
        missingSinceMillis.keys.retainAll(wanted)
        (wanted - reported).forEach { id ->
            if (id == parts.self) release()
            if (id == parts.self || isForUs(id)) report(id)
        }
        return (wanted - reported).isNotEmpty()
    }

    private fun isForUs(id: NodeId): Boolean {
        val members = parts.board.members.read()
        val nowMillis = parts.clock.monotonicMillis()
        if (id in members.members) missingSinceMillis.remove(id) else missingSinceMillis.putIfAbsent(id, nowMillis)
        val missing = missingSinceMillis[id]?.let { nowMillis - it >= MISSING_MILLIS } ?: false
        return missing && homeOf(members, id.value)?.id == parts.self
    }

    private suspend fun report(id: NodeId) {
        parts.store.commit(Transaction(emptyList(), listOf(parts.report(id)))).fold(
            success = {
                reported += id
                val rule = if (id == parts.self) "its batches are released" else "its process is gone"
                parts.journal.record(Decision("vm/${id.value}", "evacuated", rule, "asked for by an operator"))
            },
            failure = { Logger.warn("event=evacuation_not_reported vm={} cause=\"{}\"", id.value, it.detail) },
        )
    }

    private companion object {
        private const val RECHECK_MILLIS = 1_000L

        /** A process that was killed is back and registered within this time. */
        private const val MISSING_MILLIS = 5_000L
    }
}
