package bergamotwall.gateway.batches

import bergamotwall.drivers.TransactionOutcome
import bergamotwall.gateway.rewards.RewardDispatcher
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.BatchId
import bergamotwall.runtime.Decision
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
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
    dispatcherOf: ((OwnedBatch) -> Unit) -> ItemDispatcher,
    rewardDispatcherOf: ((OwnedBatch) -> Unit) -> RewardDispatcher,
) {
    private val batches = HashMap<BatchId, OwnedBatch>()
    private val resultAppender: ResultAppender =
        ResultAppender(
            scope,
            store,
            settings,
            { relinquish(it, "another process owns it") },
            ::ownershipChanged,
            onTextsStored = { rewardDispatcher.wake() },
        )
    private val dispatcher = dispatcherOf(::itemEnded)
    private val rewardDispatcher: RewardDispatcher = rewardDispatcherOf(::itemEnded)

    /** Whether any batch has neither ended nor been relinquished. May be read by any thread. */
    @Volatile
    var runsAny = false
        private set

    /** Returns batch [id] if this process owns it. */
    fun find(id: BatchId): OwnedBatch? = batches[id]?.takeUnless { it.relinquished }

    /** Updates the batches to the current routes. */
    fun routesChanged(table: RouteTable) {
        batches.values.forEach { batch -> table.find(batch.record.host, batch.record.path)?.let { batch.route = it } }
        wake()
    }

    /** Starts to run [batch], which this process has created or adopted. */
    fun add(batch: OwnedBatch) {
        batches[batch.record.id] = batch
        if (!batch.active) return
        runsAny = true
        dispatcher.add(batch)
        if (batch.items.values.any { it.reward != null }) rewardDispatcher.add(batch)
    }

    /** Has the text or result of an item of [batch] stored durably, which has just become known. */
    fun itemEnded(batch: OwnedBatch): Unit = resultAppender.scheduleAppend(batch)

    /** Triggers a dispatch, because something that placement depends on has changed. */
    fun wake() {
        dispatcher.wake()
        rewardDispatcher.wake()
    }

    /** Batches that have neither ended nor been relinquished. */
    val active: List<OwnedBatch> get() = batches.values.filter { it.active }

    /** Stops running and serving [batch], because another process may own it from now on. */
    fun relinquish(
        batch: OwnedBatch,
        cause: String,
    ) {
        batch.relinquished = true
        stopRuns(batch, cause)
        batches.remove(batch.record.id, batch)
    }

    /** Stops the runs of [batch] and stores its end durably. */
    suspend fun end(batch: OwnedBatch): EndOutcome {
        if (!batch.ended) stopRuns(batch, "ended by its trainer")
        batch.ended = true
        val retries =
            RetrySchedule(
                dependencies.clock,
                dependencies.random,
                dependencies.clock.monotonicMillis() + settings.acceptMillis,
            )
        while (retries.awaitNext()) {
            if (batch.ownershipRecord.ownership.ended) return EndOutcome.Ended
            val ended = batch.ownershipRecord.ownership.copy(ended = true)
            val outcome = store.replace(batch.record.id, batch.ownershipRecord.revision, ended)
            outcome.fold(
                success = {
                    if (it is TransactionOutcome.Committed) batch.ownershipRecord = OwnershipRecord(ended, it.revision)
                },
                failure = { },
            )
            if (!batch.ownershipRecord.ownership.ended) refreshOwnership(batch)
        }
        return if (batch.ownershipRecord.ownership.ended) {
            EndOutcome.Ended
        } else {
            EndOutcome.Unavailable("the end is not stored durably yet")
        }
    }

    private fun ownershipChanged(
        batch: OwnedBatch,
        stored: OwnershipRecord,
    ) {
        batch.ownershipRecord = stored
        if (stored.ownership.ended) {
            batch.ended = true
            stopRuns(batch, "ended through another process")
        }
    }

    private suspend fun refreshOwnership(batch: OwnedBatch) {
        val stored = store.ownership(batch.record.id).getOrElse { return } ?: return
        val own = batch.ownershipRecord.ownership
        if (stored.ownership.owner != own.owner || stored.ownership.incarnation != own.incarnation) {
            relinquish(batch, "owned by ${stored.ownership.owner.value}")
        }
        batch.ownershipRecord = stored
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
