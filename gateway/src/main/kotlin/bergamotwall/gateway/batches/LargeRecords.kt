package bergamotwall.gateway.batches

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.model.ItemId
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map

/**
 * Reads the items of [batch] like [BatchStore.items], but chunk by chunk and without their bodies if it is large: a
 * list of all chunks and the text that they are joined to would not fit in the heap.
 */
internal suspend fun BatchStore.record(
    batch: BatchId,
    ownership: BatchOwnership,
): Result<StoredRecord, KeyValueError> =
    if (ownership.parts <= MAX_PARTS_AT_ONCE) {
        items(batch, ownership).map { StoredRecord(it, null) }
    } else {
        largeRecord(batch, ownership)
    }

private suspend fun BatchStore.largeRecord(
    batch: BatchId,
    ownership: BatchOwnership,
): Result<StoredRecord, KeyValueError> {
    val scanner = BodyScanner("bodyBase64")
    val starts = IntArray(ownership.parts)
    var position = 0
    for (number in starts.indices) {
        val text = chunk(batch, ownership.nonce, number).fold({ it.value }, { return Err(it) })
        starts[number] = position
        position += text.length
        scanner.add(text)
    }
    return decode(BatchRecord.serializer(), scanner.rest, "the items of ${batch.value}").map { record ->
        val places = HashMap<ItemId, BodyPlace>()
        record.items.forEach { item ->
            // An item without a body has an empty string, which has a number too, or no string.
            item.bodyBase64.toIntOrNull()?.let { places[item.id] = scanner.bodies[it] }
        }
        StoredRecord(record.withoutBodies(), bodies(batch, ownership.nonce, starts, places))
    }
}

/** The bodies in the chunks of [batch], which were made of [text]. */
internal fun BatchStore.bodies(
    batch: BatchId,
    nonce: String,
    text: LargeRecordText,
): StoredBodies = bodies(batch, nonce, text.chunkStarts.toIntArray(), text.places)

private fun BatchStore.bodies(
    batch: BatchId,
    nonce: String,
    chunkStarts: IntArray,
    places: Map<ItemId, BodyPlace>,
): StoredBodies = StoredBodies(chunkStarts, places) { chunk(batch, nonce, it) }

private suspend fun BatchStore.chunk(
    batch: BatchId,
    nonce: String,
    number: Int,
): Result<KeyValueEntry, KeyValueError> {
    val key = GatewayKeys.chunk(GatewayKeys.items(batch, nonce), number)
    return store.get(key).andThen { if (it == null) Err(unreadable(key)) else Ok(it) }
}

internal fun BatchRecord.withoutBodies(): BatchRecord = copy(items = items.map { it.copy(bodyBase64 = "") })

/** Those of a batch of about 9.6 MB, nearly the largest that a process with a heap of 96 MB decodes at once. */
private const val MAX_PARTS_AT_ONCE = 24
