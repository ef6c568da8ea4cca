package bergamotwall.gateway.batches

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.assignedOwnerOf
import bergamotwall.model.Alive
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.CheckAlive
import bergamotwall.model.NodeId
import bergamotwall.runtime.launchSupervised
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/**
 * Adopts orphans: batches whose owner is neither registered as ready nor responds. Rendezvous hashing assigns each
 * orphan to one of the remaining processes; a compare-and-swap on the ownership record finally decides who adopts it.
 *
 * One search runs at a time. It is repeated until no batch is left without a registered owner: the process assigned to
 * adopt a batch may fail before it does, and an owner that still responds after its registration expired may fail
 * later. Confined to the batch loop, on which [scope] runs.
 */
internal class OrphanAdopter(
    scope: CoroutineScope,
    private val dependencies: BatchDependencies,
    private val store: BatchStore,
    private val ownedBatches: OwnedBatches,
    private val localSubmissions: LocalSubmissions,
) {
    private val adoption = BatchAdoption(dependencies, store, ownedBatches)
    private val searchRequests = Channel<Unit>(Channel.CONFLATED)
    private val lastKnownAddresses = HashMap<NodeId, String>()
    private val suspectedSinceMillis = HashMap<BatchId, Long>()
    private val unconfirmedUntilMillis = HashMap<BatchId, Long>()

    /** The members at the last change, null before the first one. */
    private var lastMembers: Map<NodeId, GatewayMember>? = null

    /**
     * Batches that no current route matches. They can be adopted only after a change of the routes, not of the members.
     */
    private val unroutable = HashSet<BatchId>()

    /** Batches that another build has written in a form that this one can't read. */
    private val unreadable = HashSet<BatchId>()

    private val startSearch = StartSearch(dependencies)

    init {
        scope.launchSupervised("orphans") {
            while (true) {
                if (search()) {
                    withTimeoutOrNull(RECHECK_PERIOD_MILLIS) { searchRequests.receive() }
                } else {
                    searchRequests.receive()
                }
                delay(COALESCE_MILLIS)
            }
        }
    }

    /**
     * Requests a search after a change of the members, if one of them can't run its batches any more, or this is the
     * first change. New members orphan no batch, and all processes would search for each of them.
     */
    fun membersChanged() {
        val members = dependencies.shared.gatewayState.members.read().members
        members.values.forEach { lastKnownAddresses[it.id] = it.peerAddress }
        val before = lastMembers
        lastMembers = members
        val lost =
            before?.values.orEmpty().any { old ->
                val now = members[old.id]
                old.ready && (now == null || !now.ready || now.incarnation != old.incarnation)
            }
        if (lost) startSearch.orphansExpected = true
        if (lost || before == null || startSearch.due) searchRequests.trySend(Unit)
    }

    /**
     * Searches for batch [id] for [LATE_WRITE_WINDOW_MILLIS] or until this process runs it. Its creation was not
     * confirmed: it may be stored as owned by this process, now or soon, without being run.
     */
    fun watchUnconfirmed(id: BatchId) {
        unconfirmedUntilMillis[id] = dependencies.shared.clock.monotonicMillis() + LATE_WRITE_WINDOW_MILLIS
        startSearch.orphansExpected = true
        searchRequests.trySend(Unit)
    }

    /**
     * Requests a search if any batch was left because no route matched it, or this process becomes the assigned owner
     * of a route in a large fleet and has not searched yet.
     */
    fun routesChanged() {
        if (startSearch.due) searchRequests.trySend(Unit)
        if (unroutable.isEmpty()) return
        unroutable.clear()
        searchRequests.trySend(Unit)
    }

    /** Adopts the orphans that are assigned to this process; returns true if another search is needed. */
    private suspend fun search(): Boolean =
        !dependencies.self().ready ||
            !startSearch.leftToOthers &&
            store.ownerships().fold({
                startSearch.done = true
                adoptFrom(it)
            }) {
                Logger.warn("event=orphans_not_listed cause=\"{}\"", it.detail)
                true
            }

    private suspend fun adoptFrom(records: Map<BatchId, OwnershipRecord>): Boolean {
        val excluded = unroutable + unreadable
        val suspects = records.filter { (id, record) -> id !in excluded && isSuspect(id, record.ownership) }
        val nowMillis = dependencies.shared.clock.monotonicMillis()
        suspectedSinceMillis.keys.retainAll(suspects.keys)
        suspects.keys.forEach { suspectedSinceMillis.putIfAbsent(it, nowMillis) }
        unconfirmedUntilMillis.entries.removeIf { (id, until) -> until <= nowMillis || ownedBatches.find(id) != null }
        return suspects.count { (id, record) -> !tryAdopt(id, record, nowMillis) } > 0 ||
            unconfirmedUntilMillis.isNotEmpty()
    }

    private fun isSuspect(
        id: BatchId,
        ownership: BatchOwnership,
    ): Boolean {
        // A process whose VM is being evacuated stays registered, but not as ready.
        val registered =
            dependencies.shared.gatewayState.members
                .read()
                .find(ownership.owner, ownership.incarnation)
                ?.ready ?: false
        val ours = ownership.owner == dependencies.self().id
        return !ownership.ended &&
            (ours || !registered) &&
            ownedBatches.find(id) == null &&
            !(ours && ownedBatches.retained.hasReleased(id)) &&
            !localSubmissions.isInProgress(id)
    }

    /**
     * Adopts batch [id] if it is assigned to this process, or overdue, and its owner does not respond. Returns true if
     * this process now runs it.
     */
    private suspend fun tryAdopt(
        id: BatchId,
        stored: OwnershipRecord,
        nowMillis: Long,
    ): Boolean {
        val overdue = nowMillis - (suspectedSinceMillis[id] ?: nowMillis) >= ASSIGNED_OWNER_GRACE_MILLIS
        val adoptable =
            overdue ||
                assignedOwnerOf(dependencies.shared.gatewayState, stored.ownership.route)?.id == dependencies.self().id
        return adoptable && !ownerResponds(stored.ownership) && adopt(id, stored)
    }

    /**
     * A process whose lease expired may still run: it continues its batches while the key-value service refuses its
     * calls or does not respond.
     */
    private suspend fun ownerResponds(ownership: BatchOwnership): Boolean {
        val address = lastKnownAddresses[ownership.owner]
        if (address == null || ownership.owner == dependencies.self().id) return false
        val response = dependencies.peers.sendRequest(address, CheckAlive, ALIVE_TIMEOUT_MILLIS).get()
        return response == Alive(ownership.incarnation)
    }

    private suspend fun adopt(
        id: BatchId,
        stored: OwnershipRecord,
    ): Boolean {
        val outcome = adoption.adopt(id, stored)
        if (outcome == AdoptionOutcome.UNROUTABLE) unroutable += id
        if (outcome == AdoptionOutcome.UNREADABLE) unreadable += id
        return outcome == AdoptionOutcome.ADOPTED
    }

    private companion object {
        /** Processes that start together register within this time, so that one search covers all of them. */
        private const val COALESCE_MILLIS = 200L

        /** Allows several round trips between data centres. */
        private const val ALIVE_TIMEOUT_MILLIS = 500L

        /** A write whose response was lost may take effect seconds later. */
        private const val LATE_WRITE_WINDOW_MILLIS = 10_000L

        /** Half the time after which a lease expires. One listing per period is a small share of a process's calls. */
        private const val RECHECK_PERIOD_MILLIS = 1_500L

        /** Enough for a search and its calls by the assigned process; after that, any process may adopt the batch. */
        private const val ASSIGNED_OWNER_GRACE_MILLIS = 2_500L
    }
}
