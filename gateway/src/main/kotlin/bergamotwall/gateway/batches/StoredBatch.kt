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

/** What the key-value service holds of a batch: its [record], its [results], and the [texts] that wait for scores. */
internal class StoredBatch(val record: BatchRecord, val results: List<ItemResult>, val texts: List<ItemResult>)

/** Reads all of batch [id]. Rejected if any of it can't be decoded. */
internal suspend fun BatchStore.load(
    id: BatchId,
    ownership: BatchOwnership,
): Result<StoredBatch, KeyValueError> =
    items(id, ownership).andThen { record ->
        results(id).andThen { results ->
            val rewarded = record.items.any { it.reward != null }
            val texts = if (rewarded) texts(id) else Ok(emptyList())
            texts.map { StoredBatch(record, results, it) }
        }
    }
