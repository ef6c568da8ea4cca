package bergamotwall.standins.fakes

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.etcd.RangeRequest
import bergamotwall.drivers.etcd.base64Of
import bergamotwall.drivers.etcd.endOf
import bergamotwall.drivers.etcd.entryOf
import bergamotwall.drivers.etcd.outcomeOf
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

/** What goes wrong with one call. */
public enum class CallFault {
    /** Nothing. */
    NONE,

    /** The call never arrives. */
    UNREACHABLE,

    /** The call takes effect, its answer is lost. */
    LOST_ANSWER,
}

/** Key-value service in memory, on the clock of the test, with faults call by call. */
public class MemoryKeyValueStore(clock: Clock) : KeyValueStore {
    private val state = KeyValueState { clock.monotonicMillis() }
    private val mutex = Mutex()
    private val script = ArrayDeque<CallFault>()

    /** Whether no call arrives. */
    @Volatile
    public var down: Boolean = false

    /** The next write calls go wrong as [faults] say, in order. */
    public fun failWrites(vararg faults: CallFault) {
        script += faults
    }

    /** Runs once, right before the next commit takes effect: what another process does in between. */
    @Volatile
    public var beforeCommit: (suspend () -> Unit)? = null

    override suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError> =
        read { state.range(RangeRequest(base64Of(key))).kvs.firstOrNull()?.let(::entryOf) }

    override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> =
        read {
            val answer = state.range(RangeRequest(base64Of(prefix), base64Of(endOf(prefix))))
            KeyValueListing(answer.kvs.map(::entryOf), answer.header.revision.toLong())
        }

    override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> {
        val interruption = beforeCommit
        beforeCommit = null
        interruption?.invoke()
        return write { outcomeOf(state.txn(txnOf(transaction))) }
    }

    override suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, KeyValueError> =
        read { LeaseId(state.grant(ttlSeconds)) }

    override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> {
        val leftSeconds = mutex.withLock { state.keepAlive(lease.value) }
        return when {
            down -> Err(unreachable)
            leftSeconds == 0L -> Err(KeyValueError.LeaseGone("lapsed"))
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

    private suspend fun <T> write(block: () -> T): Result<T, KeyValueError> =
        when (if (down) CallFault.UNREACHABLE else script.removeFirstOrNull() ?: CallFault.NONE) {
            CallFault.NONE -> Ok(mutex.withLock { block() })
            CallFault.UNREACHABLE -> Err(unreachable)
            CallFault.LOST_ANSWER -> {
                mutex.withLock { block() }
                Err(KeyValueError.Unavailable("answer lost", mayHaveApplied = true))
            }
        }

    private companion object {
        private val unreachable = KeyValueError.Unavailable("unreachable", mayHaveApplied = false)
    }
}
