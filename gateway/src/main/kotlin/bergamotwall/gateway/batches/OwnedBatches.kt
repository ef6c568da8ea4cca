package bergamotwall.gateway.batches

import bergamotwall.decisions.batches.OwnershipPolicy
import bergamotwall.gateway.rewards.RewardDispatcher
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.BatchId
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.Decision
import kotlinx.coroutines.CoroutineScope

/**
 * The batches that this process owns: has their items dispatched to targets, their texts scored, and their results and
 * ends stored durably.
 * Confined to the batch loop, on which [scope] runs.
 */
internal class OwnedBatches(
    scope: CoroutineScope,
    private val store: BatchStore,
    private val dependencies: TargetDependencies,
    private val settings: BatchSettings,
    private val orphanWatch: OrphanWatch,
    dispatchers: DispatcherFactory,
) {
    /** Creates dispatchers, which call `onItemEnded` with the batch of each item that has ended. */
    interface DispatcherFactory {
        /** Creates the dispatcher of items to targets. */
        fun items(onItemEnded: (OwnedBatch) -> Unit): ItemDispatcher

        /** Creates the dispatcher of reward calls. */
        fun rewards(onItemEnded: (OwnedBatch) -> Unit): RewardDispatcher
    }

    /** Stores the ends of batches. */
    val ends = BatchEnds(scope, dependencies.clock, dependencies.random, settings.acceptMillis)

    /** The batches that this process holds in memory. */
    val retained = RetainedBatches(settings.retainedChars)
    private val policy = OwnershipPolicy(settings.endMillis)
    private val checks: OwnershipChecks =
        OwnershipChecks(scope, store, retained::all, ::ownershipRead, onFailed = ::wake, dependencies.isLargeFleet)
    private val resultAppender: ResultAppender =
        ResultAppender(
            scope,
            store,
            settings,
            ::ownershipRead,
            onPositionTaken = { batch ->
                // The record of the next adoption fences the other process, whose results are read then.
                relinquish(batch, "another process appended results")
                orphanWatch.unconfirmed(batch.record.id)
            },
            onTextsStored = { rewardDispatcher.wake() },
        )

    /** Pages of the results of owned batches. */
    val pages = ResultPages(checks, settings.pageChars)

    /** Sends the items of the owned batches. */
    val dispatcher = dispatchers.items(::itemEnded)
    private val rewardDispatcher: RewardDispatcher = dispatchers.rewards(::itemEnded)

    /** Whether any batch has neither ended nor been relinquished. May be read by any thread. */
    @Volatile
    var runsAny = false
        private set

    /** Returns batch [id] if this process owns it. */
    fun find(id: BatchId): OwnedBatch? = retained.find(id)?.takeUnless { it.relinquished }

    /** What is known of the ownership of a batch after this process wrote [record] with a call sent at [sentAt]. */
    fun known(
        record: OwnershipRecord,
        sentAt: ClockReading,
    ): KnownOwnership = KnownOwnership(record, dependencies.clock, policy, sentAt)

    /** Updates the batches to the current routes. */
    fun routesChanged(table: RouteTable) {
        retained.all.forEach { batch -> table.find(batch.record.host, batch.record.path)?.let { batch.route = it } }
        wake()
    }

    /** Starts to run [batch], which this process has created or adopted. */
    fun add(batch: OwnedBatch) {
        retained.add(batch)
        if (!batch.active) return
        runsAny = true
        checks.wake()
        dispatcher.add(batch)
        if (batch.items.values.any { it.reward != null }) rewardDispatcher.add(batch)
    }

    /** Has the text or result of an item of [batch] stored durably, which has just become known. */
    fun itemEnded(batch: OwnedBatch) {
        checks.wake()
        resultAppender.scheduleAppend(batch)
    }

    /** Triggers a dispatch, because something that placement depends on has changed. */
    fun wake() {
        dispatcher.wake()
        rewardDispatcher.wake()
    }

    /** Batches that have neither ended nor been relinquished. */
    val active: List<OwnedBatch> get() = retained.all.filter { it.active }

    /** Stops running and serving [batch], because another process may own it from now on. */
    fun relinquish(
        batch: OwnedBatch,
        cause: String,
    ) {
        batch.relinquished = true
        stopRuns(batch, cause)
        retained.remove(batch)
    }

    /** Stops the runs of [batch] and stores its end durably. */
    suspend fun end(batch: OwnedBatch): EndOutcome {
        if (!batch.ended) stopRuns(batch, "ended by its trainer")
        batch.ended = true
        return ends.store(batch.record.id) { batch.storeEnd(store, checks) }
    }

    /** Applies the ownership record of [batch] as [stored], requested at [sentAt]. */
    private fun ownershipRead(
        batch: OwnedBatch,
        stored: OwnershipRecord?,
        sentAt: ClockReading,
    ) {
        val own = batch.known.record
        // The record was read before this process wrote the one that it knows.
        if (stored != null && stored.revision < own.revision) return
        val owner = stored?.ownership
        if (owner == null || !batch.known.isOwnerIn(owner)) {
            if (!batch.relinquished) relinquish(batch, "owned by ${owner?.owner?.value}")
        } else {
            batch.known.confirmed(sentAt)
        }
        batch.known.removed = stored == null
        if (stored == null) return
        batch.known.record = stored
        if (stored.ownership.ended && batch.active) {
            batch.ended = true
            stopRuns(batch, "ended through another process")
        }
        wake()
    }

    private fun stopRuns(
        batch: OwnedBatch,
        cause: String,
    ) {
        dispatcher.remove(batch)
        rewardDispatcher.remove(batch)
        runsAny = active.isNotEmpty()
        dependencies.journal.record(
            Decision(
                subject = "batch/${batch.record.id.value}",
                decision = "stopped",
                rule = "no more of its items are sent",
                cause = cause,
                inputs = "${batch.unfinished} of ${batch.items.size} items unfinished, ${batch.placement}",
            ),
        )
    }
}
