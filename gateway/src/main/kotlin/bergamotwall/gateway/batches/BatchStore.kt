package bergamotwall.gateway.batches

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.model.ItemResult
import bergamotwall.model.Jsons
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import kotlinx.serialization.builtins.ListSerializer

/**
 * Reads and updates batches in the key-value service. A batch consists of item chunks, result chunks and one ownership
 * record that fences writes of both.
 *
 * Guarantees: a batch exists once its ownership record does; results are appended only under the current revision of
 * the ownership record, and each position is written once.
 */
internal class BatchStore(private val store: KeyValueStore) {
    /** Reads the ownership record of [batch], null if there is none. */
    suspend fun ownership(batch: BatchId): Result<OwnershipRecord?, KeyValueError> =
        store.get(GatewayKeys.batch(batch)).map { entry -> entry?.let { ownershipRecordOf(it) } }

    /** Reads the ownership records of all batches. */
    suspend fun ownerships(): Result<Map<BatchId, OwnershipRecord>, KeyValueError> =
        store.list(GatewayKeys.BATCHES).map { listing ->
            listing.entries.associate { BatchId(it.key.removePrefix(GatewayKeys.BATCHES)) to ownershipRecordOf(it) }
        }

    /** Replaces the ownership record of [batch] by [next] if it still has [revision]. */
    suspend fun replace(
        batch: BatchId,
        revision: Long,
        next: BatchOwnership,
    ): Result<TransactionOutcome, KeyValueError> {
        val key = GatewayKeys.batch(batch)
        val put = Write.Put(key, Jsons.wire.encodeToString(BatchOwnership.serializer(), next))
        return store.commit(Transaction(listOf(Condition.Unchanged(key, revision)), listOf(put)))
    }

    /** Appends [results] as a chunk at [position] if the ownership record still has [revision]. */
    suspend fun append(
        batch: BatchId,
        revision: Long,
        position: Int,
        results: List<ItemResult>,
    ): AppendOutcome {
        val key = GatewayKeys.resultChunk(batch, position)
        val text = Jsons.wire.encodeToString(ListSerializer(ItemResult.serializer()), results)
        val conditions = listOf(Condition.Unchanged(GatewayKeys.batch(batch), revision), Condition.Absent(key))
        return store.commit(Transaction(conditions, listOf(Write.Put(key, text)))).fold(
            success = { if (it is TransactionOutcome.Committed) AppendOutcome.APPENDED else compareStored(key, text) },
            failure = { AppendOutcome.UNKNOWN },
        )
    }

    /** Reads the items of [batch], which are stored under the nonce of [ownership]. */
    suspend fun items(
        batch: BatchId,
        ownership: BatchOwnership,
    ): Result<BatchRecord, KeyValueError> =
        store.list(GatewayKeys.items(batch, ownership.nonce)).map { listing ->
            val text = listing.entries.sortedBy { it.key }.take(ownership.parts).joinToString("") { it.value }
            Jsons.wire.decodeFromString(BatchRecord.serializer(), text)
        }

    /** Reads the results of [batch] in the order of their positions. */
    suspend fun results(batch: BatchId): Result<List<ItemResult>, KeyValueError> =
        store.list(GatewayKeys.results(batch)).map { listing ->
            listing.entries.sortedBy { it.key }.flatMap { resultsOf(it) }
        }

    /**
     * Resolves a declined append. If the chunk at [key] equals [text], an earlier call of ours wrote it and its
     * response was lost.
     */
    private suspend fun compareStored(
        key: String,
        text: String,
    ): AppendOutcome =
        store.get(key).fold(
            success = { if (it?.value == text) AppendOutcome.APPENDED else AppendOutcome.FENCED },
            failure = { AppendOutcome.UNKNOWN },
        )
}

/** The stored [ownership] of a batch and the [revision] of its last write. */
internal data class OwnershipRecord(val ownership: BatchOwnership, val revision: Long)

/** Outcome of appending results. */
internal enum class AppendOutcome {
    /** The results are stored at their position. */
    APPENDED,

    /**
     * Rejected: the ownership record has changed, because another process owns the batch or the batch has ended, or
     * the position holds other results.
     */
    FENCED,

    /** No response: the results may have been appended. The caller must retry the same append. */
    UNKNOWN,
}

internal fun ownershipRecordOf(entry: KeyValueEntry): OwnershipRecord =
    OwnershipRecord(Jsons.wire.decodeFromString(BatchOwnership.serializer(), entry.value), entry.modRevision)

private fun resultsOf(entry: KeyValueEntry): List<ItemResult> =
    Jsons.wire.decodeFromString(ListSerializer(ItemResult.serializer()), entry.value)
