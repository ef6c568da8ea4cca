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
 * Batches in the key-value service: items in parts, results in parts, and one ownership record that fences both.
 *
 * Guarantees: a batch exists once its ownership record does; results are appended only by the owner of the record's
 * current revision, each position once.
 */
internal class BatchStore(private val store: KeyValueStore) {
    /** The ownership record of [batch], null if there is none. */
    suspend fun ownership(batch: BatchId): Result<OwnedRecord?, KeyValueError> =
        store.get(GatewayKeys.batch(batch)).map { entry -> entry?.let { recordOf(it) } }

    /** All ownership records. */
    suspend fun ownerships(): Result<Map<BatchId, OwnedRecord>, KeyValueError> =
        store.list(GatewayKeys.BATCHES).map { listing ->
            listing.entries.associate { BatchId(it.key.removePrefix(GatewayKeys.BATCHES)) to recordOf(it) }
        }

    /** Replaces the ownership record read at [revision] by [next]. */
    suspend fun replace(
        batch: BatchId,
        revision: Long,
        next: BatchOwnership,
    ): Result<TransactionOutcome, KeyValueError> {
        val key = GatewayKeys.batch(batch)
        val put = Write.Put(key, Jsons.wire.encodeToString(BatchOwnership.serializer(), next))
        return store.commit(Transaction(listOf(Condition.Unchanged(key, revision)), listOf(put)))
    }

    /** Appends [results] at [position], if the ownership record still has [revision]. */
    suspend fun append(
        batch: BatchId,
        revision: Long,
        position: Int,
        results: List<ItemResult>,
    ): AppendOutcome {
        val key = GatewayKeys.resultPart(batch, position)
        val text = Jsons.wire.encodeToString(ListSerializer(ItemResult.serializer()), results)
        val conditions = listOf(Condition.Unchanged(GatewayKeys.batch(batch), revision), Condition.Absent(key))
        return store.commit(Transaction(conditions, listOf(Write.Put(key, text)))).fold(
            success = { if (it is TransactionOutcome.Committed) AppendOutcome.APPENDED else found(key, text) },
            failure = { AppendOutcome.UNKNOWN },
        )
    }

    /** Items of [batch], which [ownership] tells where to find. */
    suspend fun items(
        batch: BatchId,
        ownership: BatchOwnership,
    ): Result<BatchRecord, KeyValueError> =
        store.list(GatewayKeys.items(batch, ownership.nonce)).map { listing ->
            val text = listing.entries.sortedBy { it.key }.take(ownership.parts).joinToString("") { it.value }
            Jsons.wire.decodeFromString(BatchRecord.serializer(), text)
        }

    /** Results of [batch] in the order of their positions. */
    suspend fun results(batch: BatchId): Result<List<ItemResult>, KeyValueError> =
        store.list(GatewayKeys.results(batch)).map { listing ->
            listing.entries.sortedBy { it.key }.flatMap { resultsOf(it) }
        }

    /** A part that stands there already is ours if it says the same: the answer to an earlier call was lost. */
    private suspend fun found(
        key: String,
        text: String,
    ): AppendOutcome =
        store.get(key).fold(
            success = { if (it?.value == text) AppendOutcome.APPENDED else AppendOutcome.FENCED },
            failure = { AppendOutcome.UNKNOWN },
        )
}

/** An ownership record and the revision of its last write. */
internal data class OwnedRecord(val ownership: BatchOwnership, val revision: Long)

/** How an append ended. */
internal enum class AppendOutcome {
    /** The results stand at their position. */
    APPENDED,

    /** Another process owns the batch now, or it has ended. */
    FENCED,

    /** No answer: it may have been appended; try the same again. */
    UNKNOWN,
}

internal fun recordOf(entry: KeyValueEntry): OwnedRecord =
    OwnedRecord(Jsons.wire.decodeFromString(BatchOwnership.serializer(), entry.value), entry.modRevision)

private fun resultsOf(entry: KeyValueEntry): List<ItemResult> =
    Jsons.wire.decodeFromString(ListSerializer(ItemResult.serializer()), entry.value)
