package bergamotwall.gateway.batches

import bergamotwall.drivers.TransactionOutcome
import bergamotwall.gateway.members.homeOf
import bergamotwall.model.Alive
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.CheckAlive
import bergamotwall.model.NodeId
import bergamotwall.runtime.Decision
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/**
 * Takes over batches whose owner is gone. Which survivor does is settled by rendezvous hashing, and in the end by
 * compare-and-swap on the ownership record.
 *
 * One search runs at a time. It is repeated until no batch is left without a registered owner: the survivor that was
 * to take one may fail first, and an owner that answers though its registration lapsed may end later. Confined to the
 * batch loop, which [scope] runs on.
 */
internal class Orphans(
    scope: CoroutineScope,
    private val parts: BatchParts,
    private val store: BatchStore,
    private val owner: BatchOwner,
    private val submissions: Submissions,
) {
    private val asked = Channel<Unit>(Channel.CONFLATED)
    private val lastAddress = HashMap<NodeId, String>()
    private val seenAtMillis = HashMap<BatchId, Long>()
    private val expectedUntilMillis = HashMap<BatchId, Long>()

    /** Batches that no route in force serves; they wait for a change of the routes, not of the members. */
    private val unroutable = HashSet<BatchId>()

    init {
        scope.launch {
            while (true) {
                if (search()) withTimeoutOrNull(RECHECK_MILLIS) { asked.receive() } else asked.receive()
                delay(GATHER_MILLIS)
            }
        }
    }

    /** Asks for a search, because members have changed. */
    fun membersChanged() {
        parts.work.board.members.read().members.values.forEach { lastAddress[it.id] = it.peerAddress }
        asked.trySend(Unit)
    }

    /** Batch [id] may stand as owned by this process, now or soon, without being run: it is searched for until then. */
    fun expect(id: BatchId) {
        expectedUntilMillis[id] = parts.work.clock.monotonicMillis() + LATE_WRITE_MILLIS
        asked.trySend(Unit)
    }

    /** Asks for a search if a batch waits for a route. */
    fun routesChanged() {
        if (unroutable.isEmpty()) return
        unroutable.clear()
        asked.trySend(Unit)
    }

    /** Takes the orphans that fall to this process; true if another search is needed. */
    private suspend fun search(): Boolean =
        !parts.self().ready ||
            store.ownerships().fold({ takeFrom(it) }) {
                Logger.warn("event=orphans_not_listed cause=\"{}\"", it.detail)
                true
            }

    private suspend fun takeFrom(all: Map<BatchId, OwnedRecord>): Boolean {
        val suspects = all.filter { (id, found) -> id !in unroutable && isSuspect(id, found.ownership) }
        val nowMillis = parts.work.clock.monotonicMillis()
        seenAtMillis.keys.retainAll(suspects.keys)
        suspects.keys.forEach { seenAtMillis.putIfAbsent(it, nowMillis) }
        expectedUntilMillis.entries.removeIf { (id, until) -> until <= nowMillis || owner.find(id) != null }
        return suspects.count { (id, found) -> !takes(id, found, nowMillis) } > 0 || expectedUntilMillis.isNotEmpty()
    }

    private fun isSuspect(
        id: BatchId,
        ownership: BatchOwnership,
    ): Boolean {
        // A process whose VM is emptied stays registered, but not as ready.
        val registered = parts.work.board.members.read().find(ownership.owner, ownership.incarnation)?.ready ?: false
        val ours = ownership.owner == parts.self().id
        return !ownership.ended && (ours || !registered) && owner.find(id) == null && !submissions.isUnderWay(id)
    }

    /** Takes batch [id] if it falls to this process and its owner is gone; true if this process runs it now. */
    private suspend fun takes(
        id: BatchId,
        found: OwnedRecord,
        nowMillis: Long,
    ): Boolean {
        val overdue = nowMillis - (seenAtMillis[id] ?: nowMillis) >= OVERDUE_MILLIS
        val mine = overdue || homeOf(parts.work.board.members.read(), found.ownership.route)?.id == parts.self().id
        return mine && !answers(found.ownership) && take(id, found)
    }

    /** A process whose lease lapsed may live: one that the key-value service turns away goes on with its batches. */
    private suspend fun answers(ownership: BatchOwnership): Boolean {
        val address = lastAddress[ownership.owner]
        if (address == null || ownership.owner == parts.self().id) return false
        val answer = parts.peers.ask(address, CheckAlive, ALIVE_TIMEOUT_MILLIS).get()
        return answer == Alive(ownership.incarnation)
    }

    private suspend fun take(
        id: BatchId,
        found: OwnedRecord,
    ): Boolean {
        val self = parts.self()
        val next = found.ownership.copy(owner = self.id, incarnation = self.incarnation)
        val outcome = store.replace(id, found.revision, next).get()
        return outcome is TransactionOutcome.Committed && load(id, found, OwnedRecord(next, outcome.revision))
    }

    /** What can't be read now is found again, as owned by this process but not run, by the next search. */
    private suspend fun load(
        id: BatchId,
        found: OwnedRecord,
        owned: OwnedRecord,
    ): Boolean {
        val record = store.items(id, owned.ownership).get()
        val listed = store.results(id).get()
        val route = record?.let { parts.work.board.routes.read().find(it.host, it.path) }
        if (record != null && route == null) {
            Logger.warn("event=batch_without_route batch={} path={}", id.value, record.path)
            unroutable += id
        }
        if (record == null || listed == null || route == null) return false
        owner.take(OwnedBatch(record, owned, route, parts.work.clock.monotonicMillis(), listed))
        parts.work.journal.record(
            Decision(
                "batch/${id.value}",
                "adopted",
                "its owner is not registered and does not answer",
                "owner ${found.ownership.owner.value}",
                "${listed.size} of ${record.items.size} results stand",
            ),
        )
        return true
    }

    private companion object {
        /** Processes that start together register within this time; one search does for all of them. */
        private const val GATHER_MILLIS = 200L

        /** Several round trips between data centres. */
        private const val ALIVE_TIMEOUT_MILLIS = 500L

        /** A write whose answer was lost may take effect seconds later. */
        private const val LATE_WRITE_MILLIS = 10_000L

        /** Half of what a lease takes to lapse; one listing in this time is a small part of what a process asks. */
        private const val RECHECK_MILLIS = 1_500L

        /** The survivor elected has had a search and its calls by then; from then on anyone takes the batch. */
        private const val OVERDUE_MILLIS = 2_500L
    }
}
