package bergamotwall.runtime

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow

/** Delegates to [store] and counts the calls in [metrics]. */
public class CountedKeyValueStore(private val store: KeyValueStore, private val metrics: Metrics) : KeyValueStore {
    override suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError> = counted("get") { store.get(key) }

    override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> =
        counted("list") { store.list(prefix) }

    override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> =
        counted("commit") { store.commit(transaction) }

    override suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, KeyValueError> =
        counted("grant") { store.grantLease(ttlSeconds) }

    override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> =
        counted("keep-alive") { store.keepAlive(lease) }

    override suspend fun revoke(lease: LeaseId): Result<Unit, KeyValueError> = counted("revoke") { store.revoke(lease) }

    override fun watch(
        prefix: String,
        fromRevision: Long,
    ): Flow<KeyValueEntry> {
        metrics.keyValueCalls.labelValues("watch").inc()
        return store.watch(prefix, fromRevision)
    }

    private suspend fun <T> counted(
        call: String,
        block: suspend () -> T,
    ): T {
        metrics.keyValueCalls.labelValues(call).inc()
        return block()
    }
}
