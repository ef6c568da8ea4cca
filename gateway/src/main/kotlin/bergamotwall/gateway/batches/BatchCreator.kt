package bergamotwall.gateway.batches

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.model.Jsons
import com.github.michaelbull.result.fold

/**
 * Writes new batches to the key-value service. The items of a batch are split into chunks of [chunkChars] characters,
 * because the service limits the size of a value.
 */
internal class BatchCreator(private val store: KeyValueStore, private val chunkChars: Int) {
    /**
     * Writes the items of [record] and then [ownership], in the same transaction as the last chunks: a batch exists
     * once its ownership record does.
     */
    suspend fun create(
        record: BatchRecord,
        ownership: BatchOwnership,
        retries: RetrySchedule,
    ): CreateOutcome {
        val chunks = Jsons.wire.encodeToString(BatchRecord.serializer(), record).chunked(chunkChars)
        val puts = chunks.mapIndexed { index, chunk ->
            Write.Put(
                GatewayKeys.chunk(GatewayKeys.items(record.id, ownership.nonce), index),
                chunk
            )
        }
        val earlierPuts = puts.dropLast(CHUNKS_PER_TRANSACTION).chunked(CHUNKS_PER_TRANSACTION)
        for (group in earlierPuts) {
            if (!putChunks(group, retries)) return CreateOutcome.NotCreated("the items could not be written")
        }
        val requested = ownership.copy(parts = chunks.size)
        val key = GatewayKeys.batch(record.id)
        val ownershipPut = Write.Put(key, Jsons.wire.encodeToString(BatchOwnership.serializer(), requested))
        val transaction =
            Transaction(listOf(Condition.Absent(key)), puts.takeLast(CHUNKS_PER_TRANSACTION) + ownershipPut)
        return commitOwnership(key, transaction, requested, retries)
    }

    private suspend fun putChunks(
        puts: List<Write.Put>,
        retries: RetrySchedule,
    ): Boolean {
        retries.reset()
        while (retries.awaitNext()) {
            if (store.commit(Transaction(emptyList(), puts)).isOk) return true
        }
        return false
    }

    private suspend fun commitOwnership(
        key: String,
        transaction: Transaction,
        requested: BatchOwnership,
        retries: RetrySchedule,
    ): CreateOutcome {
        var mayHaveApplied = false
        retries.reset()
        while (retries.awaitNext()) {
            val outcome = store.commit(transaction)
            mayHaveApplied = mayHaveApplied || outcome.fold({ false }, ::mayHaveApplied)
            val resolved = outcome.fold({ resolveCommit(key, it, requested) }, { null })
            if (resolved != null) return resolved
        }
        val detail = "the key-value service did not respond in time"
        return if (mayHaveApplied) CreateOutcome.Unknown(detail) else CreateOutcome.NotCreated(detail)
    }

    /**
     * Returns null if the outcome is not known yet. A transaction is also declined if an earlier attempt of this call
     * was applied but its response was lost; the stored record then has the nonce of [requested].
     */
    private suspend fun resolveCommit(
        key: String,
        outcome: TransactionOutcome,
        requested: BatchOwnership,
    ): CreateOutcome? =
        when (outcome) {
            is TransactionOutcome.Committed -> CreateOutcome.Created(OwnershipRecord(requested, outcome.revision))
            is TransactionOutcome.Declined ->
                store.get(key).fold(
                    success = { entry ->
                        val stored = entry?.let { ownershipRecordOf(it) }
                        val ours = stored?.ownership?.nonce == requested.nonce
                        stored?.let { if (ours) CreateOutcome.Created(it) else CreateOutcome.Existed(it) }
                    },
                    failure = { null },
                )
        }

    private companion object {
        /** Keeps each transaction well below the number of entries that the key-value service allows in one. */
        private const val CHUNKS_PER_TRANSACTION = 4
    }
}

private fun mayHaveApplied(error: KeyValueError): Boolean =
    when (error) {
        is KeyValueError.Unavailable -> error.mayHaveApplied
        is KeyValueError.Rejected, is KeyValueError.LeaseExpired, is KeyValueError.HistoryCompacted -> false
    }
