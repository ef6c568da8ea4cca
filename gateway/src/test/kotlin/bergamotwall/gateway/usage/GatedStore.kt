package bergamotwall.gateway.usage

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import com.github.michaelbull.result.Result

/** The key-value service as a process sees it whose calls wait for [gate]. */
internal class GatedStore(
    private val store: KeyValueStore,
    private val gate: suspend () -> Unit,
) : KeyValueStore by store {
    override suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError> {
        gate()
        return store.get(key)
    }

    override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> {
        gate()
        return store.list(prefix)
    }

    override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> {
        gate()
        return store.commit(transaction)
    }

    override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> {
        gate()
        return store.keepAlive(lease)
    }
}
