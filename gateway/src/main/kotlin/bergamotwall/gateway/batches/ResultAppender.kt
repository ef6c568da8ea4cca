package bergamotwall.gateway.batches

import bergamotwall.model.BatchId
import bergamotwall.model.ItemResult
import bergamotwall.runtime.ClockReading
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Stores results of owned batches, and texts that are to be scored, durably, in one call for those that complete within
 * `gatherMillis`. Calls [onRecordRead] with the ownership record, null if there is none, and the time at which it was
 * requested, if an append was declined; [onPositionTaken] if it was declined although the record is unchanged; and
 * [onTextsStored] when texts may be scored. Confined to the batch loop, on which [scope] runs.
 */
internal class ResultAppender(
    private val scope: CoroutineScope,
    private val store: BatchStore,
    private val settings: BatchSettings,
    private val onRecordRead: (OwnedBatch, OwnershipRecord?, ClockReading) -> Unit,
    private val onPositionTaken: (OwnedBatch) -> Unit,
    private val onTextsStored: () -> Unit = { },
) {
    private val appending = HashSet<BatchId>()

    /** Starts to append the pending results and texts of [batch], unless that is already in progress. */
    fun scheduleAppend(batch: OwnedBatch) {
        if (!appending.add(batch.record.id)) return
        scope.launch {
            try {
                while (batch.active && (batch.pendingResults.isNotEmpty() || batch.pendingTexts.isNotEmpty())) {
                    delay(settings.gatherMillis)
                    append(batch)
                }
            } finally {
                appending.remove(batch.record.id)
            }
        }
    }

    /**
     * Appends a chunk of pending results and one of pending texts. The same chunks are retried until they are known to
     * be stored or the append is fenced.
     */
    private suspend fun append(batch: OwnedBatch) {
        val append =
            ResultAppend(
                position = batch.storedResultCount,
                results = chunkOf(batch.pendingResults),
                textNumber = batch.storedTextCount,
                texts = chunkOf(batch.pendingTexts),
            )
        // Each call that stores the chunks, this one or a retry, is made after this moment.
        val firstSentAt = batch.known.now()
        var retries = 0
        while (batch.active) {
            // Readers see no texts that wait for their scores.
            batch.appendUnresolved = append.results.isNotEmpty()
            val revision = batch.known.record.revision
            when (store.append(batch.record.id, revision, append)) {
                AppendOutcome.APPENDED -> {
                    batch.appendUnresolved = false
                    batch.markStored(append)
                    batch.known.confirmed(firstSentAt)
                    return if (append.texts.isEmpty()) Unit else onTextsStored()
                }
                AppendOutcome.FENCED -> {
                    batch.appendUnresolved = false
                    return handleFenced(batch, revision)
                }
                AppendOutcome.UNKNOWN -> delay(
                    minOf(MAX_RETRY_MILLIS, FIRST_RETRY_MILLIS shl minOf(retries++, MAX_SHIFT))
                )
            }
        }
    }

    /** The first of [pending] that fit in one value of the key-value service, but at least one if there is any. */
    private fun chunkOf(pending: List<ItemResult>): List<ItemResult> {
        var bytes = 0
        return pending.take(MAX_RESULTS_PER_CHUNK).takeWhile { result ->
            val first = bytes == 0
            bytes += encodedBytesOf(result)
            first || bytes <= settings.partChars
        }
    }

    private suspend fun handleFenced(
        batch: OwnedBatch,
        revision: Long,
    ) {
        val sentAt = batch.known.now()
        val stored = store.ownership(batch.record.id).getOrElse { return delay(FIRST_RETRY_MILLIS) }
        onRecordRead(batch, stored, sentAt)
        if (batch.active && stored?.revision == revision) onPositionTaken(batch)
    }

    private companion object {
        private const val MAX_RESULTS_PER_CHUNK = 200

        /**
         * About the usual duration of a call. The limits of the service allow each owner one more call in this time.
         */
        private const val FIRST_RETRY_MILLIS = 50L
        private const val MAX_RETRY_MILLIS = 500L
        private const val MAX_SHIFT = 4
    }
}
