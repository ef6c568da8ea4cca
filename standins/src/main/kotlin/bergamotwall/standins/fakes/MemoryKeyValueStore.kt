package bergamotwall.standins.fakes

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.drivers.etcd.RangeRequest
import bergamotwall.drivers.etcd.base64Of
import bergamotwall.drivers.etcd.entryOf
import bergamotwall.drivers.etcd.outcomeOf
import bergamotwall.drivers.etcd.rangeEndOf
import bergamotwall.drivers.etcd.txnOf
import bergamotwall.runtime.Clock
import bergamotwall.standins.KeyValueState
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** Fault of one call. */
public enum class CallFault {
    /** The call succeeds. */
    NONE,

    /** The call never arrives. */
    UNREACHABLE,

    /** The call takes effect, but its response is lost. */
    LOST_RESPONSE,
}

/** In-memory key-value service on the clock of a test, with faults for single calls. Watches report nothing. */
public class MemoryKeyValueStore(clock: Clock) : KeyValueStore {
    private val state = KeyValueState { clock.monotonicMillis() }
    private val mutex = Mutex()
    private val writeFaults = ArrayDeque<CallFault>()

    /** Whether the service is unreachable for all calls. */
    @Volatile
    public var down: Boolean = false

    /** Appends [faults] for the next write calls, one for each in order. */
    public fun failWrites(vararg faults: CallFault) {
        writeFaults += faults
    }

    /** Runs once, right before the next commit takes effect, as a concurrent write of another process. */
    @Volatile
    public var beforeCommit: (suspend () -> Unit)? = null

    override suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError> =
        read { state.range(RangeRequest(base64Of(key))).kvs.firstOrNull()?.let(::entryOf) }

    override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> =
        read {
            val matching = state.range(RangeRequest(base64Of(prefix), base64Of(rangeEndOf(prefix))))
            KeyValueListing(matching.kvs.map(::entryOf), matching.header.revision.toLong())
        }

    override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> {
        val concurrentWrite = beforeCommit
        beforeCommit = null
        concurrentWrite?.invoke()
        return write {
            val leases = transaction.writes.filterIsInstance<Write.Put>().mapNotNull { it.lease }
            if (leases.all { state.hasLease(it.value) }) {
                Ok(outcomeOf(state.txn(txnOf(transaction))))
            } else {
                Err(KeyValueError.LeaseExpired("lease not found"))
            }
        }
    }

    override suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, KeyValueError> =
        read { LeaseId(state.grant(ttlSeconds)) }

    override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> {
        val ttlSeconds = mutex.withLock { state.keepAlive(lease.value) }
        return when {
            down -> Err(unreachable)
            ttlSeconds == 0L -> Err(KeyValueError.LeaseExpired("lease expired"))
            else -> Ok(Unit)
        }
    }

    override suspend fun revoke(lease: LeaseId): Result<Unit, KeyValueError> = read { state.revoke(lease.value) }

    override fun watch(
        prefix: String,
        fromRevision: Long,
    ): Flow<KeyValueEntry> = emptyFlow()

    private suspend fun <T> read(block: () -> T): Result<T, KeyValueError> =
        if (down) Err(unreachable) else Ok(mutex.withLock { block() })

    private suspend fun <T> write(block: () -> Result<T, KeyValueError>): Result<T, KeyValueError> =
        when (if (down) CallFault.UNREACHABLE else writeFaults.removeFirstOrNull() ?: CallFault.NONE) {
            CallFault.NONE -> mutex.withLock { block() }
            CallFault.UNREACHABLE -> Err(unreachable)
            CallFault.LOST_RESPONSE -> {
                mutex.withLock { block() }
                Err(KeyValueError.Unavailable("response lost", mayHaveApplied = true))
            }
        }

    private companion object {
        private val unreachable = KeyValueError.Unavailable("unreachable", mayHaveApplied = false)
    }
}
