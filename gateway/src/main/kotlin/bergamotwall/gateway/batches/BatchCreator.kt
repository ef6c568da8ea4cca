package bergamotwall.gateway.batches

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.members.RegistrationFence
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.model.Jsons
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError

/**
 * Writes new batches to the key-value service. The items of a batch are split into chunks of [chunkChars] characters,
 * because the service limits the size of a value. A batch comes to exist only while this process is registered, see
 * [fence].
 */
internal class BatchCreator(
    private val store: KeyValueStore,
    private val fence: RegistrationFence,
    private val chunkChars: Int,
) {
    /** Writes the items of [record] and then [ownership], see the other function. */
    suspend fun create(
        record: BatchRecord,
        ownership: BatchOwnership,
        retries: RetrySchedule,
    ): CreateOutcome {
        val chunks = Jsons.wire.encodeToString(BatchRecord.serializer(), record).chunked(chunkChars)
        return create(record.id, chunks.asSequence(), ownership, retries)
    }

    /**
     * Writes the [chunks] of the record of batch [id] as they are made and then [ownership], in the same transaction as
     * the last chunks: a batch exists once its ownership record does.
     */
    suspend fun create(
        id: BatchId,
        chunks: Sequence<String>,
        ownership: BatchOwnership,
        retries: RetrySchedule,
    ): CreateOutcome {
        val prefix = GatewayKeys.items(id, ownership.nonce)
        val puts = ArrayList<Write.Put>()
        var parts = 0
        var written = true
        for (chunk in chunks) {
            // The last chunks are kept for the transaction with the ownership record.
            if (puts.size == 2 * CHUNKS_PER_TRANSACTION) written = putFirst(puts, CHUNKS_PER_TRANSACTION, retries)
            if (!written) break
            puts += Write.Put(GatewayKeys.chunk(prefix, parts++), chunk)
        }
        val earlier = puts.size - CHUNKS_PER_TRANSACTION
        if (written && earlier > 0) written = putFirst(puts, earlier, retries)
        if (!written) return CreateOutcome.NotCreated("the items could not be written")
        val requested = ownership.copy(parts = parts)
        val key = GatewayKeys.batch(id)
        val ownershipPut = Write.Put(key, Jsons.wire.encodeToString(BatchOwnership.serializer(), requested))
        return commitOwnership(key, puts + ownershipPut, requested, retries)
    }

    /** Writes the first [count] of [puts] and removes them from the list. */
    private suspend fun putFirst(
        puts: MutableList<Write.Put>,
        count: Int,
        retries: RetrySchedule,
    ): Boolean {
        val first = puts.subList(0, count)
        val written = putChunks(first.toList(), retries)
        first.clear()
        return written
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
        puts: List<Write.Put>,
        requested: BatchOwnership,
        retries: RetrySchedule,
    ): CreateOutcome {
        var mayHaveApplied = false
        retries.reset()
        while (retries.awaitNext()) {
            val registered = fence.condition ?: continue
            val conditions = listOf(Condition.Absent(key), registered)
            val response = store.commit(Transaction(conditions, puts, orElseRead = conditions.map { it.key }))
            response.get()?.let { resolveCommit(key, it, requested) }?.let { return it }
            val declined = response.get() as? TransactionOutcome.Declined
            if (declined == null) {
                mayHaveApplied = mayHaveApplied || response.getError()?.let(::mayHaveApplied) ?: false
            } else {
                // No earlier attempt can still create the batch either, as each was made on a registration that ended.
                mayHaveApplied = false
                fence.declined(registered, declined.read)
            }
        }
        val detail = "the key-value service did not respond in time, or this process is not registered"
        return if (mayHaveApplied) CreateOutcome.Unknown(detail) else CreateOutcome.NotCreated(detail)
    }

    /**
     * Returns null if the batch does not exist. A transaction is also declined if an earlier attempt of this call was
     * applied but its response was lost; the stored record then has the nonce of [requested].
     */
    private fun resolveCommit(
        key: String,
        outcome: TransactionOutcome,
        requested: BatchOwnership,
    ): CreateOutcome? =
        when (outcome) {
            is TransactionOutcome.Committed -> CreateOutcome.Created(OwnershipRecord(requested, outcome.revision))
            is TransactionOutcome.Declined -> {
                val stored = outcome.read.firstOrNull { it.key == key }?.let { ownershipRecordOf(it) }
                // Another process may have adopted the batch since an earlier attempt created it.
                val ours = stored?.ownership?.let { it.nonce == requested.nonce && it.hasOwnerOf(requested) } ?: false
                stored?.let { if (ours) CreateOutcome.Created(it) else CreateOutcome.Existed(it) }
            }
        }

    private companion object {
        /** Keeps each transaction well below the number of entries that the key-value service allows in one. */
        private const val CHUNKS_PER_TRANSACTION = 4
    }
}

/** Whether a write that failed with [error] may have taken effect, or may still do so. */
internal fun mayHaveApplied(error: KeyValueError): Boolean =
    when (error) {
        is KeyValueError.Unavailable -> error.mayHaveApplied
        is KeyValueError.Rejected, is KeyValueError.LeaseExpired, is KeyValueError.HistoryCompacted -> false
    }
