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

/** Creates batches in the key-value service, in parts of [partChars]. */
internal class BatchCreator(private val store: KeyValueStore, private val partChars: Int) {
    /** Creates a batch, [ownership] last. */
    suspend fun create(
        record: BatchRecord,
        ownership: BatchOwnership,
        attempts: Attempts,
    ): CreateOutcome {
        val parts = Jsons.wire.encodeToString(BatchRecord.serializer(), record).chunked(partChars)
        val puts = parts.mapIndexed { index, part ->
            Write.Put(
                GatewayKeys.itemPart(record.id, ownership.nonce, index),
                part
            )
        }
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

private fun mayHaveApplied(error: KeyValueError): Boolean =
    when (error) {
        is KeyValueError.Unavailable -> error.mayHaveApplied
        is KeyValueError.Rejected, is KeyValueError.LeaseGone, is KeyValueError.HistoryGone -> false
    }
