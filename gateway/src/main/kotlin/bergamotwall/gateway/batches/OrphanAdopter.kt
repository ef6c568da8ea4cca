package bergamotwall.gateway.batches

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.assignedOwnerOf
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.NodeId
import bergamotwall.runtime.launchSupervised
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
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
    private val scope: CoroutineScope,
    private val dependencies: BatchDependencies,
    private val store: BatchStore,
    private val ownedBatches: OwnedBatches,
    private val localSubmissions: LocalSubmissions,
) : OrphanWatch {
    private val adoption = BatchAdoption(dependencies, store, ownedBatches)
    private val searchRequests = Channel<Unit>(Channel.CONFLATED)
    private val owners = OwnerLiveness(dependencies)
    private val suspectedSinceMillis = HashMap<BatchId, Long>()
    private val unconfirmedUntilMillis = HashMap<BatchId, Long>()

    /** Batches whose owner was not known to be registered when their ownership was read, until it is checked again. */
    private val sighted = HashSet<BatchId>()

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
        owners.membersChanged(members.values)
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

    /** Searches for batch [id] for [LATE_WRITE_WINDOW_MILLIS] or until this process runs it. */
    override fun unconfirmed(id: BatchId) {
        unconfirmedUntilMillis[id] = dependencies.shared.clock.monotonicMillis() + LATE_WRITE_WINDOW_MILLIS
        requestSearch()
    }

    /**
     * Requests a search if batch [id] has no registered owner, nor one that is about to become known. The loss of an
     * owner that was not registered when the batch was stored causes no search.
     */
    override fun ownershipRead(
        id: BatchId,
        ownership: BatchOwnership,
    ) {
        // Searches go on for the suspects, and can't help the others.
        val excluded = id in suspectedSinceMillis || id in unroutable || id in unreadable
        val orphan = lastMembers != null && !excluded && isSuspect(id, ownership)
        if (!orphan || !sighted.add(id)) return
        scope.launch {
            delay(MEMBER_NEWS_MILLIS)
            sighted -= id
            if (id !in suspectedSinceMillis && isSuspect(id, ownership)) requestSearch()
        }
    }

    private fun requestSearch() {
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
    private suspend fun search(): Boolean {
        // A batch may be stored between the listing and its response, so times are those before it.
        val nowMillis = dependencies.shared.clock.monotonicMillis()
        return when {
            !dependencies.self().ready -> true
            startSearch.leftToOthers -> false
            else ->
                store.ownerships().fold({
                    startSearch.done = true
                    adoptFrom(it, nowMillis)
                }) {
                    Logger.warn("event=orphans_not_listed cause=\"{}\"", it.detail)
                    true
                }
        }
    }

    /** Adopts from [records], which were requested at [nowMillis]. */
    private suspend fun adoptFrom(
        records: Map<BatchId, OwnershipRecord>,
        nowMillis: Long,
    ): Boolean {
        val excluded = unroutable + unreadable
        val suspects = records.filter { (id, record) -> id !in excluded && isSuspect(id, record.ownership) }
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
        return adoptable && !owners.responds(stored.ownership) && adopt(id, stored)
    }

    private suspend fun adopt(
        id: BatchId,
        stored: OwnershipRecord,
    ): Boolean {
        val outcome = adoption.adopt(id, stored)
        if (outcome == AdoptionOutcome.UNROUTABLE) unroutable += id
        if (outcome == AdoptionOutcome.UNREADABLE) unreadable += id
        if (outcome == AdoptionOutcome.UNCONFIRMED) unconfirmed(id)
        return outcome == AdoptionOutcome.ADOPTED
    }

    private companion object {
        /** Processes that start together register within this time, so that one search covers all of them. */
        private const val COALESCE_MILLIS = 200L

        /** News of a new member take less, also in a large fleet. */
        private const val MEMBER_NEWS_MILLIS = 1_000L

        /** A write whose response was lost may take effect seconds later. */
        private const val LATE_WRITE_WINDOW_MILLIS = 10_000L

        /** Half the time after which a lease expires. One listing per period is a small share of a process's calls. */
        private const val RECHECK_PERIOD_MILLIS = 1_500L

        /** Enough for a search and its calls by the assigned process; after that, any process may adopt the batch. */
        private const val ASSIGNED_OWNER_GRACE_MILLIS = 2_500L
    }
}
