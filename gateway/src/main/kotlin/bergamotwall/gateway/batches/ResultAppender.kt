package bergamotwall.gateway.batches

import bergamotwall.model.BatchId
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Makes results durable, several with one call. [onLost] is told of a batch that another process owns, [onChanged] of
 * one whose record another process changed. Confined to the batch loop, which [scope] runs on.
 */
internal class ResultAppender(
    private val scope: CoroutineScope,
    private val store: BatchStore,
    private val gatherMillis: Long,
    private val onLost: (OwnedBatch) -> Unit,
    private val onChanged: (OwnedBatch, OwnedRecord) -> Unit,
) {
    private val appending = HashSet<BatchId>()

    /** Appends what is pending of [batch], soon. */
    fun appendSoon(batch: OwnedBatch) {
        if (!appending.add(batch.record.id)) return
        scope.launch {
            try {
                while (batch.active && batch.pendingResults.isNotEmpty()) {
                    delay(gatherMillis)
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
                AppendOutcome.UNKNOWN -> delay(
                    minOf(MAX_RETRY_MILLIS, FIRST_RETRY_MILLIS shl minOf(tries++, MAX_SHIFT))
                )
            }
        }
    }

    private suspend fun fenced(batch: OwnedBatch) {
        val found = store.ownership(batch.record.id).getOrElse { return delay(FIRST_RETRY_MILLIS) }
        val own = batch.owned.ownership
        val ours = found?.ownership?.let { it.owner == own.owner && it.incarnation == own.incarnation } ?: false
        if (found == null || !ours) onLost(batch) else onChanged(batch, found)
    }

    private companion object {
        private const val MAX_PART_RESULTS = 200

        /** About a call's usual time; the service's limits bear one call more in it from each owner. */
        private const val FIRST_RETRY_MILLIS = 50L
        private const val MAX_RETRY_MILLIS = 500L
        private const val MAX_SHIFT = 4
    }
}
