package bergamotwall.gateway.store

import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueChanges
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.model.PeerMessage
import bergamotwall.model.StoreChanges
import bergamotwall.model.StoreCommit
import bergamotwall.model.StoreCommitted
import bergamotwall.model.StoreEntries
import bergamotwall.model.StoreFailure
import bergamotwall.model.StoreGet
import bergamotwall.model.StoreGrant
import bergamotwall.model.StoreList
import bergamotwall.model.StoreRenew
import bergamotwall.model.StoreWatch
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/**
 * Key-value service that is reached through another process while it turns this one away. A write that may have been
 * applied is never repeated here: its caller knows whether the same write can be tried again, and that try is relayed.
 */
internal class RelayedStore(
    private val store: KeyValueStore,
    private val feed: ChangeFeed,
    private val path: RelayPath,
) : KeyValueStore,
    ChangeFeed {
    override suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError> =
        call({ store.get(key) }, StoreGet(key), 0) { answer ->
            (answer as? StoreEntries)?.let { found -> Found(found.entries.firstOrNull()?.let { entryOf(it) }) }
        }

    override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> =
        call({ store.list(prefix) }, StoreList(prefix), 0) { answer ->
            (answer as? StoreEntries)?.let { found ->
                Found(KeyValueListing(found.entries.map { entryOf(it) }, found.revision))
            }
        }

    override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> =
        call({ store.commit(transaction) }, messageOf(transaction), 0) { answer ->
            when (answer) {
                is StoreCommitted -> Found(TransactionOutcome.Committed(answer.value))
                is StoreEntries -> Found(TransactionOutcome.Declined(answer.entries.map { entryOf(it) }))
                else -> null
            }
        }

    override suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, KeyValueError> =
        call({ store.grantLease(ttlSeconds) }, StoreGrant(ttlSeconds), 0) { answer ->
            (answer as? StoreCommitted)?.let { Found(LeaseId(it.value)) }
        }

    override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> =
        call({ store.keepAlive(lease) }, StoreRenew(lease.value, false), 0) { Found(Unit) }

    override suspend fun revoke(lease: LeaseId): Result<Unit, KeyValueError> =
        call({ store.revoke(lease) }, StoreRenew(lease.value, true), 0) { Found(Unit) }

    override fun watch(
        prefix: String,
        fromRevision: Long,
    ): Flow<KeyValueEntry> = store.watch(prefix, fromRevision)

    override suspend fun changes(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
    ): Result<KeyValueChanges, KeyValueError> =
        call(
            { path.untilFailure { feed.changes(prefix, afterRevision, waitMillis) } ?: Err(givenUp) },
            StoreWatch(prefix, afterRevision, waitMillis),
            waitMillis,
        ) { answer ->
            (answer as? StoreChanges)?.let { found ->
                Found(KeyValueChanges(found.changes.map { changeOf(it) }, found.revision))
            }
        }

    private class Found<T>(val value: T)

    private suspend fun <T> call(
        direct: suspend () -> Result<T, KeyValueError>,
        message: PeerMessage,
        waitMillis: Long,
        decode: (PeerMessage) -> Found<T>?,
    ): Result<T, KeyValueError> {
        val repeatable = message !is StoreCommit
        if (path.directFirst()) {
            val probe = repeatable && waitMillis == 0L && path.doubtful
            val own = if (probe) withTimeoutOrNull(PROBE_MILLIS) { direct() } ?: Err(slow) else direct()
            val error = own.fold({ null }, { it as? KeyValueError.Unavailable })
            if (error == null) path.directWorks() else if (error !== givenUp) path.directFailed()
            if (error == null || error.mayHaveApplied && !repeatable) return own
        }
        return relayed(message, waitMillis, repeatable, decode)
    }

    private suspend fun <T> relayed(
        message: PeerMessage,
        waitMillis: Long,
        repeatable: Boolean,
        decode: (PeerMessage) -> Found<T>?,
    ): Result<T, KeyValueError> =
        path.ask(message, waitMillis, repeatable).fold(
            success = { answer ->
                if (answer is StoreFailure) {
                    Err(errorOf(answer))
                } else {
                    decode(answer)?.let { Ok(it.value) } ?: unexpected(answer)
                }
            },
            failure = { Err(KeyValueError.Unavailable("no relay: ${it.detail}", it.mayHaveArrived)) },
        )
}

private fun unexpected(answer: PeerMessage): Result<Nothing, KeyValueError> {
    Logger.warn("event=relay_answer_unexpected type={}", answer::class.simpleName)
    return Err(KeyValueError.Unavailable("unexpected answer of a relay", mayHaveApplied = true))
}

/** What a call gets to show that the service answers again; the others are relayed meanwhile. */
private const val PROBE_MILLIS = 150L

private val slow = KeyValueError.Unavailable("no answer in $PROBE_MILLIS ms", mayHaveApplied = false)

private val givenUp = KeyValueError.Unavailable("another call was not answered", mayHaveApplied = false)
