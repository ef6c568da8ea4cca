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
 * Key-value service that is accessed through another process while it does not respond to this one. A write that may
 * have been applied is never repeated here: the caller knows whether the write can be retried, and its retry is
 * relayed.
 */
internal class RelayedStore(
    private val store: KeyValueStore,
    private val feed: ChangeFeed,
    private val failover: RelayFailover,
    private val outages: StoreOutages,
) : KeyValueStore,
    ChangeFeed {
    override suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError> =
        call({ store.get(key) }, StoreGet(key)) { (response, _) ->
            (response as? StoreEntries)?.let { listing -> Decoded(listing.entries.firstOrNull()?.let { entryOf(it) }) }
        }

    override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> =
        call({ store.list(prefix) }, StoreList(prefix)) { (response, relay) ->
            (response as? StoreEntries)?.let { listing ->
                Decoded(KeyValueListing(listing.entries.map { entryOf(it) }, listing.revision, relay))
            }
        }

    override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> =
        call({ store.commit(transaction) }, messageOf(transaction)) { (response, _) ->
            when (response) {
                is StoreCommitted -> Decoded(TransactionOutcome.Committed(response.value))
                is StoreEntries -> Decoded(TransactionOutcome.Declined(response.entries.map { entryOf(it) }))
                else -> null
            }
        }

    override suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, KeyValueError> =
        call({ store.grantLease(ttlSeconds) }, StoreGrant(ttlSeconds)) { (response, _) ->
            (response as? StoreCommitted)?.let { Decoded(LeaseId(it.value)) }
        }

    override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> =
        call({ store.keepAlive(lease) }, StoreRenew(lease.value, false)) { Decoded(Unit) }

    override suspend fun revoke(lease: LeaseId): Result<Unit, KeyValueError> =
        call({ store.revoke(lease) }, StoreRenew(lease.value, true)) { Decoded(Unit) }

    override fun watch(
        prefix: String,
        fromRevision: Long,
    ): Flow<KeyValueEntry> = store.watch(prefix, fromRevision)

    /**
     * Waits on one path only: a long poll on a silent path ends at its timeout. A poll without a wait is sent like any
     * other read.
     */
    override suspend fun changes(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
    ): Result<KeyValueChanges, KeyValueError> {
        val message = StoreWatch(prefix, afterRevision, waitMillis)
        if (waitMillis == 0L) return call({ feed.changes(prefix, afterRevision, 0) }, message, ::changesOf)
        val direct = failover.directFirst()
        val response =
            failover.cancelOnPathChange(direct) {
                if (direct) {
                    feed.changes(prefix, afterRevision, waitMillis)
                } else {
                    callRelay(message, waitMillis, retryable = false, ::changesOf)
                }
            } ?: Err(abandoned)
        val unavailable = response.fold({ false }, { it is KeyValueError.Unavailable && it !== abandoned })
        if (direct && unavailable) failover.directFailed()
        return response.observedBy(outages)
    }

    private suspend fun <T> call(
        direct: suspend () -> Result<T, KeyValueError>,
        message: PeerMessage,
        decode: (RelayedResponse) -> Decoded<T>?,
    ): Result<T, KeyValueError> {
        val retryable = message !is StoreCommit
        if (failover.directFirst()) {
            val probe = retryable && failover.directSuspect
            val directResult =
                if (probe) withTimeoutOrNull(PROBE_MILLIS) { direct() } ?: Err(probeTimeout) else direct()
            val error = directResult.fold({ null }, { it as? KeyValueError.Unavailable })
            if (error == null) failover.directSucceeded() else failover.directFailed()
            if (error == null || error.mayHaveApplied && !retryable) return directResult.observedBy(outages)
        }
        return callRelay(message, 0, retryable, decode).observedBy(outages)
    }

    private suspend fun <T> callRelay(
        message: PeerMessage,
        waitMillis: Long,
        retryable: Boolean,
        decode: (RelayedResponse) -> Decoded<T>?,
    ): Result<T, KeyValueError> =
        failover.request(message, waitMillis, retryable).fold(
            success = { response ->
                val message = response.message
                if (message is StoreFailure) {
                    Err(errorOf(message))
                } else {
                    decode(response)?.let { Ok(it.value) } ?: unexpectedResponse(message)
                }
            },
            failure = { Err(KeyValueError.Unavailable("relays failed: ${it.detail}", it.mayHaveArrived)) },
        )
}

private fun <T> Result<T, KeyValueError>.observedBy(outages: StoreOutages): Result<T, KeyValueError> {
    if (fold({ true }, { it !is KeyValueError.Unavailable })) outages.responded()
    return this
}

private class Decoded<T>(val value: T)

private fun changesOf(response: RelayedResponse): Decoded<KeyValueChanges>? =
    (response.message as? StoreChanges)?.let { changes ->
        Decoded(KeyValueChanges(changes.changes.map { changeOf(it) }, changes.revision, response.relay))
    }

private fun unexpectedResponse(response: PeerMessage): Result<Nothing, KeyValueError> {
    Logger.warn("event=relay_answer_unexpected type={}", response::class.simpleName)
    return Err(KeyValueError.Unavailable("unexpected response from a relay", mayHaveApplied = true))
}

/** Timeout of a direct call that probes whether the service responds again; after it, the call is relayed. */
private const val PROBE_MILLIS = 150L

private val probeTimeout = KeyValueError.Unavailable("no response within $PROBE_MILLIS ms", mayHaveApplied = false)

private val abandoned = KeyValueError.Unavailable("another path is used from now on", mayHaveApplied = false)
