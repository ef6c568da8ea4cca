package bergamotwall.entry

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.model.Jsons
import bergamotwall.model.Receipt
import bergamotwall.runtime.SharedKeys
import com.github.michaelbull.result.get

/** Replaces a receipt only if it is still the expected one. */
internal class ReceiptCompareAndSwap(private val store: KeyValueStore) {
    /**
     * Replaces the receipt of [key] by [next] if it has [nonce]. False if it has another nonce, if there is none, or if
     * the outcome is unknown.
     */
    suspend fun swap(
        key: String,
        nonce: String,
        next: Receipt,
    ): Boolean {
        val current = store.get(SharedKeys.receipt(key)).get()
        val existing = current?.let { Jsons.wire.decodeFromString(Receipt.serializer(), it.value) }
        return current != null && existing?.nonce == nonce && write(key, current.modRevision, next)
    }

    private suspend fun write(
        key: String,
        modRevision: Long,
        next: Receipt,
    ): Boolean {
        val name = SharedKeys.receipt(key)
        val value = Jsons.wire.encodeToString(Receipt.serializer(), next)
        val lease = store.grantLease(RETENTION_SECONDS).get() ?: return false
        val transaction = Transaction(
            listOf(Condition.Unchanged(name, modRevision)),
            listOf(Write.Put(name, value, lease))
        )
        val outcome = store.commit(transaction).get()
        return if (outcome == null) store.get(name).get()?.value == value else outcome is TransactionOutcome.Committed
    }

    private companion object {
        private const val RETENTION_SECONDS = 3_600L
    }
}
