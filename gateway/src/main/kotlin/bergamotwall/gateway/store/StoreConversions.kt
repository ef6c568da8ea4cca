package bergamotwall.gateway.store

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueChange
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.model.StoreChange
import bergamotwall.model.StoreCommit
import bergamotwall.model.StoreCondition
import bergamotwall.model.StoreEntry
import bergamotwall.model.StoreFailure
import bergamotwall.model.StoreFailureKind
import bergamotwall.model.StoreWrite

internal fun messageOf(entry: KeyValueEntry): StoreEntry =
    StoreEntry(entry.key, entry.value, entry.modRevision, entry.createRevision)

internal fun entryOf(message: StoreEntry): KeyValueEntry =
    KeyValueEntry(message.key, message.value, message.modRevision, message.createRevision)

internal fun messageOf(change: KeyValueChange): StoreChange =
    when (change) {
        is KeyValueChange.Put -> StoreChange(change.key, messageOf(change.entry))
        is KeyValueChange.Deleted -> StoreChange(change.key, null)
    }

internal fun changeOf(message: StoreChange): KeyValueChange =
    message.entry?.let { KeyValueChange.Put(entryOf(it)) } ?: KeyValueChange.Deleted(message.key)

internal fun messageOf(transaction: Transaction): StoreCommit =
    StoreCommit(
        conditions = transaction.conditions.map { StoreCondition(it.key, it.modRevision) },
        puts =
        transaction.writes.filterIsInstance<Write.Put>().map { StoreWrite(it.key, it.value, it.lease?.value ?: 0) },
        deletes = transaction.writes.filterIsInstance<Write.Delete>().map { it.key },
        orElseRead = transaction.orElseRead,
    )

internal fun transactionOf(message: StoreCommit): Transaction =
    Transaction(
        conditions = message.conditions.map { Condition.Unchanged(it.key, it.revision) },
        writes =
        message.puts.map { Write.Put(it.key, it.value, leaseOf(it)) } + message.deletes.map { Write.Delete(it) },
        orElseRead = message.orElseRead,
    )

internal fun messageOf(error: KeyValueError): StoreFailure =
    when (error) {
        is KeyValueError.Unavailable ->
            StoreFailure(StoreFailureKind.UNAVAILABLE, error.detail, error.mayHaveApplied)
        is KeyValueError.Rejected -> StoreFailure(StoreFailureKind.REJECTED, error.detail, false)
        is KeyValueError.LeaseExpired -> StoreFailure(StoreFailureKind.LEASE_EXPIRED, error.detail, false)
        is KeyValueError.HistoryCompacted -> StoreFailure(StoreFailureKind.HISTORY_COMPACTED, error.detail, false)
    }

internal fun errorOf(message: StoreFailure): KeyValueError =
    when (message.kind) {
        StoreFailureKind.UNAVAILABLE -> KeyValueError.Unavailable(message.detail, message.mayHaveApplied)
        StoreFailureKind.REJECTED -> KeyValueError.Rejected(message.detail)
        StoreFailureKind.LEASE_EXPIRED -> KeyValueError.LeaseExpired(message.detail)
        StoreFailureKind.HISTORY_COMPACTED -> KeyValueError.HistoryCompacted(message.detail)
    }

private fun leaseOf(write: StoreWrite): LeaseId? = if (write.lease == 0L) null else LeaseId(write.lease)
