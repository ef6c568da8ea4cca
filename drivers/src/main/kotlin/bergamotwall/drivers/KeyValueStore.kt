package bergamotwall.drivers

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow

/** The platform's key-value service. Every call may take long or fail; none throws for that. */
public interface KeyValueStore {
    /** The entry of [key], or null if there is none. */
    public suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError>

    /** All entries whose key starts with [prefix], and the revision at which they were read. */
    public suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError>

    /** Commits [transaction] atomically. */
    public suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError>

    /** Grants a lease of [ttlSeconds]. */
    public suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, KeyValueError>

    /** Renews [lease]; fails with [KeyValueError.LeaseGone] if it has lapsed. */
    public suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError>

    /** Ends [lease] and deletes what is attached to it. */
    public suspend fun revoke(lease: LeaseId): Result<Unit, KeyValueError>

    /** Entries put under [prefix] from [fromRevision] on; the flow ends when the watch breaks. */
    public fun watch(
        prefix: String,
        fromRevision: Long,
    ): Flow<KeyValueEntry>
}
