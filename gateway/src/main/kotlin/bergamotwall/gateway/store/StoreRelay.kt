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

/** Makes calls to the key-value service for processes that it turns away; only ever with this process's own calls. */
internal class StoreRelay(private val store: KeyValueStore, private val feed: ChangeFeed) {
    /** Answer to [message], or null if it is no call to the key-value service. */
    suspend fun answer(message: PeerMessage): PeerMessage? =
        when (message) {
            is StoreGet ->
                store.get(message.key).answer { entry -> StoreEntries(listOfNotNull(entry?.let { messageOf(it) }), 0) }
            is StoreList ->
                store.list(message.prefix).answer { found ->
                    StoreEntries(found.entries.map { messageOf(it) }, found.revision)
                }
            is StoreCommit -> store.commit(transactionOf(message)).answer { outcomeOf(it) }
            is StoreGrant -> store.grantLease(message.ttlSeconds).answer { StoreCommitted(it.value) }
            is StoreRenew -> renew(message).answer { Done }
            is StoreWatch ->
                feed.changes(message.prefix, message.after, message.waitMillis).answer { found ->
                    StoreChanges(found.changes.map { messageOf(it) }, found.revision)
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

    private inline fun <T> Result<T, KeyValueError>.answer(encode: (T) -> PeerMessage): PeerMessage =
        fold({ encode(it) }, { messageOf(it) })
}
