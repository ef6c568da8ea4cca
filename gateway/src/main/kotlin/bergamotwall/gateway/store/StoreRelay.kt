package bergamotwall.gateway.store

import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.model.Done
import bergamotwall.model.PeerMessage
import bergamotwall.model.StoreChanges
import bergamotwall.model.StoreCommit
import bergamotwall.model.StoreCommitted
import bergamotwall.model.StoreEntries
import bergamotwall.model.StoreGet
import bergamotwall.model.StoreGrant
import bergamotwall.model.StoreList
import bergamotwall.model.StoreRenew
import bergamotwall.model.StoreWatch
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold

/**
 * Executes key-value calls on behalf of processes that can't reach the service. Always calls the service directly, so
 * that no call is relayed twice.
 */
internal class StoreRelay(private val store: KeyValueStore, private val feed: ChangeFeed) {
    /** Executes [message] and returns the response, or null if it is not a key-value call. */
    suspend fun handle(message: PeerMessage): PeerMessage? =
        when (message) {
            is StoreGet ->
                store.get(message.key).toMessage { entry ->
                    StoreEntries(listOfNotNull(entry?.let { messageOf(it) }), 0)
                }
            is StoreList ->
                store.list(message.prefix).toMessage { listing ->
                    StoreEntries(listing.entries.map { messageOf(it) }, listing.revision)
                }
            is StoreCommit -> store.commit(transactionOf(message)).toMessage { outcomeOf(it) }
            is StoreGrant -> store.grantLease(message.ttlSeconds).toMessage { StoreCommitted(it.value) }
            is StoreRenew -> renew(message).toMessage { Done }
            is StoreWatch ->
                feed.changes(message.prefix, message.after, message.waitMillis).toMessage { changes ->
                    StoreChanges(changes.changes.map { messageOf(it) }, changes.revision)
                }
            else -> null
        }

    private suspend fun renew(message: StoreRenew): Result<Unit, KeyValueError> {
        val lease = LeaseId(message.lease)
        return if (message.end) store.revoke(lease) else store.keepAlive(lease)
    }

    private fun outcomeOf(outcome: TransactionOutcome): PeerMessage =
        when (outcome) {
            is TransactionOutcome.Committed -> StoreCommitted(outcome.revision)
            is TransactionOutcome.Declined -> StoreEntries(outcome.read.map { messageOf(it) }, 0)
        }

    private inline fun <T> Result<T, KeyValueError>.toMessage(encode: (T) -> PeerMessage): PeerMessage =
        fold({ encode(it) }, { messageOf(it) })
}
