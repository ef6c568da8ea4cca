package bergamotwall.gateway.batches

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.Jsons
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import org.tinylog.Logger

/**
 * Withdraws batches that are ended before they are stored: stores a record in the place of the batch's own, so that a
 * creation that is under way, or is carried out late, is declined. The record has a lease, since ids come from callers.
 * Confined to the batch loop.
 */
internal class BatchWithdrawal(private val dependencies: BatchDependencies) {
    private val store: KeyValueStore = dependencies.store
    private var lastAtMillis: Long? = null

    /** Tries to withdraw batch [id], which has no record; returns whether that is known to have succeeded. */
    suspend fun withdraw(id: BatchId): Boolean {
        val nowMillis = dependencies.shared.clock.monotonicMillis()
        if (lastAtMillis?.let { nowMillis - it < PAUSE_MILLIS } == true) return false
        lastAtMillis = nowMillis
        return store.grantLease(LEASE_SECONDS).fold(
            success = { lease ->
                val key = GatewayKeys.batch(id)
                val value = Jsons.wire.encodeToString(BatchOwnership.serializer(), withdrawnOwnership())
                val transaction = Transaction(listOf(Condition.Absent(key)), listOf(Write.Put(key, value, lease)))
                val withdrawn = store.commit(transaction).get() is TransactionOutcome.Committed
                if (withdrawn) Logger.info("event=batch_withdrawn batch={}", id.value)
                withdrawn
            },
            failure = { false },
        )
    }

    private fun withdrawnOwnership(): BatchOwnership {
        val self = dependencies.self()
        val nowMillis = dependencies.shared.clock.wallMillis()
        return BatchOwnership(self.id, self.incarnation, WITHDRAWN_NONCE, 0, 0, nowMillis, route = "", ended = true)
    }

    private companion object {
        /** Much longer than a write may be late. */
        private const val LEASE_SECONDS = 60L

        /** Bounds the calls for ids that callers make up. */
        private const val PAUSE_MILLIS = 250L
    }
}

/** Whether this is the record of a batch that was withdrawn: there is no such batch. */
internal val BatchOwnership.withdrawn: Boolean get() = nonce == WITHDRAWN_NONCE

/** Attempts to create a batch have other nonces. */
private const val WITHDRAWN_NONCE = ""
