package bergamotwall.entry

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.model.Jsons
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.Receipt
import bergamotwall.model.ReceiptState
import bergamotwall.runtime.Clock
import bergamotwall.runtime.SharedKeys
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Writes receipts to the key-value service, many in one transaction (group commit), and at most one transaction every
 * [COMMIT_INTERVAL_MILLIS], so that the rate of writes is bounded by the number of shards.
 *
 * A reservation is written only if its key is absent, so that two writers of one shard, of which one may be resuming
 * after a pause, can never both reserve. A receipt is deleted when the lease under which it was written expires,
 * at least [retentionSeconds] after the write.
 */
internal class ReceiptWriter(
    private val store: KeyValueStore,
    private val clock: Clock,
    retentionSeconds: Long = RETENTION_SECONDS,
) {
    private class Pending(val key: String, val receipt: Receipt, val reserve: Boolean) {
        val response = CompletableDeferred<PeerMessage>()
    }

    private val queue = Channel<Pending>(QUEUE_LENGTH)
    private val leases = RotatingLease(store, clock, retentionSeconds)

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                val batch = nextBatch()
                val startedMillis = clock.monotonicMillis()
                commit(batch)
                delay(startedMillis + COMMIT_INTERVAL_MILLIS - clock.monotonicMillis())
            }
        }
    }

    /** Writes [receipt] to [key] if the key is absent, and returns the receipt that is stored then. */
    suspend fun reserve(
        key: String,
        receipt: Receipt,
    ): PeerMessage = enqueue(Pending(key, receipt, reserve = true))

    /** Replaces the reservation that the sender holds under [key] by [receipt]. */
    suspend fun replace(
        key: String,
        receipt: Receipt,
    ): PeerMessage = enqueue(Pending(key, receipt, reserve = false))

    private suspend fun enqueue(pending: Pending): PeerMessage {
        if (queue.trySend(pending).isFailure) return refusal("the receipt queue is full")
        return pending.response.await()
    }

    /** Two receipts for one key never share a transaction: the receipts collected before the second commit first. */
    private suspend fun nextBatch(): List<Pending> {
        val batch = LinkedHashMap<String, Pending>()
        val first = queue.receive()
        batch[first.key] = first
        while (batch.size < MAX_BATCH) {
            val next = queue.tryReceive().getOrNull() ?: break
            if (next.key in batch) {
                commit(batch.values.toList())
                batch.clear()
            }
            batch[next.key] = next
        }
        return batch.values.toList()
    }

    private suspend fun commit(batch: List<Pending>) {
        if (batch.isEmpty()) return
        val lease = leases.current()
        if (lease == null) {
            batch.forEach { it.response.complete(refusal("the key-value service granted no lease")) }
            return
        }
        store.commit(transaction(batch, lease)).fold(
            success = { handleOutcome(batch, it) },
            failure = { error -> batch.forEach { it.response.complete(readBack(it, error)) } },
        )
    }

    private suspend fun handleOutcome(
        batch: List<Pending>,
        outcome: TransactionOutcome,
    ) {
        when (outcome) {
            is TransactionOutcome.Committed ->
                batch.forEach { it.response.complete(ReceiptState(it.receipt, reserved = true)) }
            is TransactionOutcome.Declined -> {
                val existing = outcome.read.associateBy { it.key }
                val (present, absent) = batch.partition { it.reserve && SharedKeys.receipt(it.key) in existing }
                present.forEach { it.response.complete(stateOf(it, existing.getValue(SharedKeys.receipt(it.key)))) }
                commit(absent)
            }
        }
    }

    /** Reads what is stored after a commit with an unknown outcome. */
    private suspend fun readBack(
        pending: Pending,
        error: KeyValueError,
    ): PeerMessage {
        val existing = store.get(SharedKeys.receipt(pending.key)).get() ?: return refusal(error.detail)
        return stateOf(pending, existing)
    }

    private fun stateOf(
        pending: Pending,
        existing: KeyValueEntry,
    ): PeerMessage {
        val receipt = Jsons.wire.decodeFromString(Receipt.serializer(), existing.value)
        return ReceiptState(receipt, reserved = receipt.nonce == pending.receipt.nonce)
    }

    private fun transaction(
        batch: List<Pending>,
        lease: LeaseId,
    ): Transaction {
        val reserves = batch.filter { it.reserve }.map { SharedKeys.receipt(it.key) }
        return Transaction(
            conditions = reserves.map { Condition.Absent(it) },
            writes =
            batch.map {
                val value = Jsons.wire.encodeToString(Receipt.serializer(), it.receipt)
                Write.Put(SharedKeys.receipt(it.key), value, lease)
            },
            orElseRead = reserves,
        )
    }

    private companion object {
        private const val RETENTION_SECONDS = 3_600L
        private const val COMMIT_INTERVAL_MILLIS = 50L
        private const val QUEUE_LENGTH = 4_096
        private const val MAX_BATCH = 50
    }
}

private const val RETRY_AFTER_MILLIS = 1_000L

private fun refusal(detail: String): PeerMessage =
    PeerRefusal(
        Problem(ProblemKind.UNAVAILABLE, "no receipt could be kept: $detail", retryAfterMillis = RETRY_AFTER_MILLIS),
    )
