package bergamotwall.gateway.batches

import bergamotwall.drivers.TransactionOutcome
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.targets.TargetParts
import bergamotwall.model.BatchId
import bergamotwall.runtime.Decision
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope

/**
 * The batches that this process owns: runs their items, makes results durable and answers reads. Confined to the batch
 * loop, which [scope] runs on.
 */
internal class BatchOwner(
    scope: CoroutineScope,
    private val store: BatchStore,
    private val work: TargetParts,
    private val settings: BatchSettings,
    dispatcherOf: ((OwnedBatch) -> Unit) -> ItemDispatcher,
) {
    private val batches = HashMap<BatchId, OwnedBatch>()
    private val appender =
        ResultAppender(scope, store, settings.gatherMillis, { lose(it, "another process owns it") }, ::changed)
    private val dispatcher = dispatcherOf(appender::appendSoon)

    /** Batch [id] if this process owns it. */
    fun find(id: BatchId): OwnedBatch? = batches[id]?.takeUnless { it.lost }

    /** Takes in the routes in force. */
    fun routesChanged(table: RouteTable) {
        batches.values.forEach { batch -> table.find(batch.record.host, batch.record.path)?.let { batch.route = it } }
        wake()
    }

    /** Takes up the work on [batch]. */
    fun take(batch: OwnedBatch) {
        batches[batch.record.id] = batch
        if (batch.active) dispatcher.add(batch)
    }

    /** Something that placement depends on has changed. */
    fun wake(): Unit = dispatcher.wake()

    /** Batches that still run. */
    fun active(): List<OwnedBatch> = batches.values.filter { it.active }

    /** Another process may own [batch] now: nothing of it is run or shown here any more. */
    fun lose(
        batch: OwnedBatch,
        cause: String,
    ) {
        batch.lost = true
        stop(batch, cause)
        batches.remove(batch.record.id, batch)
    }

    /** Stops the runs of [batch] and makes its end durable. */
    suspend fun end(batch: OwnedBatch): EndOutcome {
        if (!batch.ended) stop(batch, "ended by its trainer")
        batch.ended = true
        val attempts = Attempts(work.clock, work.random, work.clock.monotonicMillis() + settings.acceptMillis)
        while (attempts.next()) {
            if (batch.owned.ownership.ended) return EndOutcome.Ended
            val next = batch.owned.ownership.copy(ended = true)
            val outcome = store.replace(batch.record.id, batch.owned.revision, next)
            outcome.fold(
                success = { if (it is TransactionOutcome.Committed) batch.owned = OwnedRecord(next, it.revision) },
                failure = { },
            )
            if (!batch.owned.ownership.ended) reread(batch)
        }
        return if (batch.owned.ownership.ended) {
            EndOutcome.Ended
        } else {
            EndOutcome.Unavailable(
                "the end is not durable yet"
            )
        }
    }

    private fun changed(
        batch: OwnedBatch,
        found: OwnedRecord,
    ) {
        batch.owned = found
        if (found.ownership.ended) {
            batch.ended = true
            stop(batch, "ended through another process")
        }
    }

    private suspend fun reread(batch: OwnedBatch) {
        val found = store.ownership(batch.record.id).getOrElse { return } ?: return
        val own = batch.owned.ownership
        if (found.ownership.owner != own.owner || found.ownership.incarnation != own.incarnation) {
            lose(batch, "owned by ${found.ownership.owner.value}")
        }
        batch.owned = found
    }

    private fun stop(
        batch: OwnedBatch,
        cause: String,
    ) {
        dispatcher.remove(batch)
        work.journal.record(
            Decision("batch/${batch.record.id.value}", "stopped", "no item of it is sent any more", cause),
        )
    }
}
