package bergamotwall.gateway.batches

import bergamotwall.drivers.KeyValueError
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.model.ItemResult
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map

/** The [record] of a batch. If [bodies] is not null, the batch is large and has the bodies of its items there only. */
internal class StoredRecord(val record: BatchRecord, val bodies: StoredBodies?)

/** What the key-value service holds of a batch: its record, its [results], and the [texts] that wait for scores. */
internal class StoredBatch(
    val stored: StoredRecord,
    val results: List<ItemResult>,
    val texts: List<ItemResult>,
) {
    val record: BatchRecord get() = stored.record
}

/** Reads all of batch [id]. Rejected if any of it can't be decoded. */
internal suspend fun BatchStore.load(
    id: BatchId,
    ownership: BatchOwnership,
): Result<StoredBatch, KeyValueError> =
    record(id, ownership).andThen { stored ->
        results(id).andThen { results ->
            val rewarded = stored.record.items.any { it.reward != null }
            val texts = if (rewarded) texts(id) else Ok(emptyList())
            texts.map { StoredBatch(stored, results, it) }
        }
    }
