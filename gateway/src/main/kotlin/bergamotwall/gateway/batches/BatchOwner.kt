package bergamotwall.gateway.batches

import bergamotwall.drivers.TransactionOutcome
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.model.BatchId
import bergamotwall.model.BatchPage
import bergamotwall.model.ItemId
import bergamotwall.runtime.Decision
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * The batches that this process owns: runs their items, makes results durable and answers reads. Confined to the batch
 * loop, which [scope] runs on.
 */
internal class BatchOwner(
    private val scope: CoroutineScope,
    private val store: BatchStore,
    private val context: DispatchContext,
    private val settings: BatchSettings,
    dispatcherOf: ((OwnedBatch) -> Unit) -> ItemDispatcher,
) {
    private val batches = HashMap<BatchId, OwnedBatch>()
    private val appending = HashSet<BatchId>()
    private val submissions = HashSet<BatchId>()
    private val dispatcher = dispatcherOf(::appendSoon)

    /** Batch [id] if this process owns it. */
    fun find(id: BatchId): OwnedBatch? = batches[id]?.takeUnless { it.lost }

    /** Whether a submission of [id] is under way here. */
    fun submitting(id: BatchId): Boolean = id in submissions

    /** Runs [block], the submission of [id]. */
    suspend fun <T> submission(
        id: BatchId,
        block: suspend () -> T,
    ): T {
        submissions += id
        try {
            return block()
        } finally {
            submissions -= id
        }
    }

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

    suspend fun page(
        batch: OwnedBatch,
        after: Int,
        waitMillis: Long,
    ): BatchPage = batch.page(after, waitMillis, settings.pageChars)

    /** Body of [item] in base64, or null if the batch has no such item. */
    fun body(
        batch: OwnedBatch,
        item: ItemId,
    ): String? = batch.items[item]?.spec?.bodyBase64

    /** Stops the runs of [batch] and makes its end durable. */
    suspend fun end(batch: OwnedBatch): EndOutcome {
        stop(batch, "ended by its trainer")
        batch.ended = true
        return markEnded(batch)
    }

    /** Another process may own [batch] now: nothing of it is run or shown here any more. */
    fun lose(
        batch: OwnedBatch,
        cause: String,
    ) {
        batch.lost = true
        stop(batch, cause)
        batches.remove(batch.record.id, batch)
    }

    private suspend fun markEnded(batch: OwnedBatch): EndOutcome {
        val attempts = Attempts(context.clock, context.random, context.clock.monotonicMillis() + settings.acceptMillis)
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
        return if (batch.owned.ownership.ended) EndOutcome.Ended else EndOutcome.Unavailable("the end is not durable yet")
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
        context.journal.record(
            Decision("batch/${batch.record.id.value}", "stopped", "no item of it is sent any more", cause),
        )
    }

    private fun appendSoon(batch: OwnedBatch) {
        if (!appending.add(batch.record.id)) return
        scope.launch {
            try {
                while (batch.active && batch.pendingResults.isNotEmpty()) {
                    delay(settings.gatherMillis)
                    append(batch)
                }
            } finally {
                appending.remove(batch.record.id)
            }
        }
    }

    /** Appends what is pending; the same part is tried until it is known to stand or the ownership is lost. */
    private suspend fun append(batch: OwnedBatch) {
        val part = batch.pendingResults.take(MAX_PART_RESULTS)
        var tries = 0
        while (batch.active) {
            when (store.append(batch.record.id, batch.owned.revision, batch.listedResults, part)) {
                AppendOutcome.APPENDED -> return batch.listed(part.size)
                AppendOutcome.FENCED -> return fenced(batch)
                AppendOutcome.UNKNOWN -> delay(minOf(MAX_RETRY_MILLIS, FIRST_RETRY_MILLIS shl minOf(tries++, MAX_SHIFT)))
            }
        }
    }

    private suspend fun fenced(batch: OwnedBatch) {
        val found = store.ownership(batch.record.id).getOrElse { return delay(FIRST_RETRY_MILLIS) }
        val own = batch.owned.ownership
        val ours = found?.ownership?.let { it.owner == own.owner && it.incarnation == own.incarnation } ?: false
        when {
            found == null || !ours -> lose(batch, "another process owns it")
            found.ownership.ended -> {
                batch.owned = found
                batch.ended = true
                stop(batch, "ended through another process")
            }
            else -> batch.owned = found
        }
    }

    private companion object {
        private const val MAX_PART_RESULTS = 200

        /** About a call's usual time; the service's limits bear one call more in it from each owner. */
        private const val FIRST_RETRY_MILLIS = 50L
        private const val MAX_RETRY_MILLIS = 500L
        private const val MAX_SHIFT = 4
    }
}
