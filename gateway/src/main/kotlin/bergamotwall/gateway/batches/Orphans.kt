package bergamotwall.gateway.batches

import bergamotwall.decisions.ownerOf
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.model.Alive
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.CheckAlive
import bergamotwall.model.NodeId
import bergamotwall.runtime.Decision
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse

/**
 * Takes over batches whose owner is gone. Which survivor does is settled by rendezvous hashing, and in the end by
 * compare-and-swap on the ownership record. Confined to the batch loop.
 */
internal class Orphans(
    private val parts: BatchParts,
    private val store: BatchStore,
    private val owner: BatchOwner,
    private val submissions: Submissions,
) {
    private val lastAddress = HashMap<NodeId, String>()
    private var searching = false
    private var searchAgain = false

    /** Takes the orphans that fall to this process; searches once at a time, and once more if asked meanwhile. */
    suspend fun adopt() {
        searchAgain = true
        if (searching) return
        searching = true
        try {
            while (searchAgain) {
                searchAgain = false
                search()
            }
        } finally {
            searching = false
        }
    }

    private suspend fun search() {
        val members = parts.board.members.read()
        members.members.values.forEach { lastAddress[it.id] = it.peerAddress }
        val all = store.ownerships().getOrElse { return }
        all.filter { (id, found) -> owner.find(id) == null && !submissions.isUnderWay(id) && isOrphan(found.ownership) }
            .filter { (id, _) -> ownerOf(id.value, members.members.keys) == parts.self().id }
            .forEach { (id, found) -> take(id, found) }
    }

    private suspend fun isOrphan(ownership: BatchOwnership): Boolean {
        val self = parts.self()
        val registered = parts.board.members.read().find(ownership.owner, ownership.incarnation) != null
        return when {
            ownership.ended -> false
            ownership.owner == self.id -> true
            registered -> false
            else -> !answers(ownership)
        }
    }

    /** A process whose lease lapsed may live: one that the key-value service turns away goes on with its batches. */
    private suspend fun answers(ownership: BatchOwnership): Boolean {
        val address = lastAddress[ownership.owner] ?: return false
        val answer = parts.peers.ask(address, CheckAlive, ALIVE_TIMEOUT_MILLIS).get()
        return answer == Alive(ownership.incarnation)
    }

    private suspend fun take(
        id: BatchId,
        found: OwnedRecord,
    ) {
        val self = parts.self()
        val next = found.ownership.copy(owner = self.id, incarnation = self.incarnation)
        val outcome = store.replace(id, found.revision, next).get()
        if (outcome is TransactionOutcome.Committed) load(id, found, OwnedRecord(next, outcome.revision))
    }

    /** What can't be read now is found again, as owned by this process but not run, by the next search. */
    private suspend fun load(
        id: BatchId,
        found: OwnedRecord,
        owned: OwnedRecord,
    ) {
        val record = store.items(id, owned.ownership).get()
        val listed = store.results(id).get()
        val route = record?.let { parts.board.routes.read().find(it.host, it.path) }
        if (record == null || listed == null || route == null) return
        owner.take(OwnedBatch(record, owned, route, parts.clock.monotonicMillis(), listed))
        parts.journal.record(
            Decision(
                "batch/${id.value}",
                "adopted",
                "its owner is not registered and does not answer",
                "owner ${found.ownership.owner.value}",
                "${listed.size} of ${record.items.size} results stand",
            ),
        )
    }

    private companion object {
        /** Several round trips between data centres. */
        private const val ALIVE_TIMEOUT_MILLIS = 500L
    }
}
