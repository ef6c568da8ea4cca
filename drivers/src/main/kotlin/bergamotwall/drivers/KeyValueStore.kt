package bergamotwall.drivers

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow

/** The platform's key-value service. Calls can be slow or fail; failures are returned as [KeyValueError]. */
public interface KeyValueStore {
    /** The entry of [key], or null if there is none. */
    public suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError>

    /** All entries whose key starts with [prefix], with a revision from which their later changes can be read. */
    public suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError>

    /** Commits [transaction] atomically. */
    public suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError>

    /** Grants a lease of [ttlSeconds]. */
    public suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, KeyValueError>

    /** Renews [lease]; fails with [KeyValueError.LeaseExpired] if it has expired. */
    public suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError>

    /** Ends [lease] and deletes the keys attached to it. */
    public suspend fun revoke(lease: LeaseId): Result<Unit, KeyValueError>

    /** Emits entries put under [prefix] at [fromRevision] or later; the flow ends when the watch fails. */
    public fun watch(
        prefix: String,
        fromRevision: Long,
    ): Flow<KeyValueEntry>
}
