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
internal class BatchStore(private val store: KeyValueStore, private val partChars: Int) {
    /** Creates a batch, [ownership] last. */
    suspend fun create(
        record: BatchRecord,
        ownership: BatchOwnership,
        attempts: Attempts,
    ): CreateOutcome {
        val parts = Jsons.wire.encodeToString(BatchRecord.serializer(), record).chunked(partChars)
        val puts = parts.mapIndexed { index, part -> Write.Put(GatewayKeys.itemPart(record.id, ownership.nonce, index), part) }
        val early = puts.dropLast(PARTS_A_CALL).chunked(PARTS_A_CALL)
        for (group in early) {
            if (!putAll(group, attempts)) return CreateOutcome.NotCreated("the items could not be written")
        }
        val whole = ownership.copy(parts = parts.size)
        val key = GatewayKeys.batch(record.id)
        val ownershipPut = Write.Put(key, Jsons.wire.encodeToString(BatchOwnership.serializer(), whole))
        val transaction = Transaction(listOf(Condition.Absent(key)), puts.takeLast(PARTS_A_CALL) + ownershipPut)
        return commitNew(key, transaction, whole, attempts)
    }

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

    private suspend fun putAll(
        puts: List<Write.Put>,
        attempts: Attempts,
    ): Boolean {
        attempts.start()
        while (attempts.next()) {
            if (store.commit(Transaction(emptyList(), puts)).isOk) return true
        }
        return false
    }

    private suspend fun commitNew(
        key: String,
        transaction: Transaction,
        wanted: BatchOwnership,
        attempts: Attempts,
    ): CreateOutcome {
        var mayHaveApplied = false
        attempts.start()
        while (attempts.next()) {
            val outcome = store.commit(transaction)
            mayHaveApplied = mayHaveApplied || outcome.fold({ false }, ::mayHaveApplied)
            val settled = outcome.fold({ settle(key, it, wanted) }, { null })
            if (settled != null) return settled
        }
        val detail = "the key-value service did not answer in time"
        return if (mayHaveApplied) CreateOutcome.Unknown(detail) else CreateOutcome.NotCreated(detail)
    }

    private suspend fun settle(
        key: String,
        outcome: TransactionOutcome,
        wanted: BatchOwnership,
    ): CreateOutcome? =
        when (outcome) {
            is TransactionOutcome.Committed -> CreateOutcome.Created(OwnedRecord(wanted, outcome.revision))
            is TransactionOutcome.Declined ->
                store.get(key).fold(
                    success = { entry ->
                        val found = entry?.let { recordOf(it) }
                        val ours = found?.ownership?.nonce == wanted.nonce
                        found?.let { if (ours) CreateOutcome.Created(it) else CreateOutcome.Existed(it) }
                    },
                    failure = { null },
                )
        }

    private companion object {
        /** Keeps a call well under the entries that one transaction may have. */
        private const val PARTS_A_CALL = 4
    }
}

/** An ownership record and the revision of its last write. */
internal data class OwnedRecord(val ownership: BatchOwnership, val revision: Long)

/** How the creation of a batch ended. */
internal sealed interface CreateOutcome {
    /** It exists, created by this call. */
    data class Created(val record: OwnedRecord) : CreateOutcome

    /** It existed before. */
    data class Existed(val record: OwnedRecord) : CreateOutcome

    /** It does not exist and will not, by this call. */
    data class NotCreated(val detail: String) : CreateOutcome

    /** It may exist, now or later. */
    data class Unknown(val detail: String) : CreateOutcome
}

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

private fun mayHaveApplied(error: KeyValueError): Boolean =
    when (error) {
        is KeyValueError.Unavailable -> error.mayHaveApplied
        is KeyValueError.Rejected, is KeyValueError.LeaseGone, is KeyValueError.HistoryGone -> false
    }
