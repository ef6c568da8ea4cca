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
 * A reservation is put only if its key is absent, so two writers of one shard, or one that wakes after a pause, can
 * never both reserve. Receipts go when the lease that they were written under does, after [retentionSeconds].
 */
internal class ReceiptWriter(
    private val store: KeyValueStore,
    private val clock: Clock,
    retentionSeconds: Long = RETENTION_SECONDS,
) {
    private class Pending(val key: String, val receipt: Receipt, val reserve: Boolean) {
        val answer = CompletableDeferred<PeerMessage>()
    }

    private val queue = Channel<Pending>(QUEUE_LENGTH)
    private val leases = LeaseBucket(store, clock, retentionSeconds)

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

    /** Reserves [key] for [receipt], or tells what is there. */
    suspend fun reserve(
        key: String,
        receipt: Receipt,
    ): PeerMessage = enqueue(Pending(key, receipt, reserve = true))

    /** Puts [receipt] in place of the reservation that its sender holds. */
    suspend fun replace(
        key: String,
        receipt: Receipt,
    ): PeerMessage = enqueue(Pending(key, receipt, reserve = false))

    private suspend fun enqueue(pending: Pending): PeerMessage {
        if (queue.trySend(pending).isFailure) return refusal("the receipt queue is full")
        return pending.answer.await()
    }

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
            batch.forEach { it.answer.complete(refusal("the key-value service grants no lease")) }
            return
        }
        store.commit(transaction(batch, lease)).fold(
            success = { settle(batch, it) },
            failure = { error -> batch.forEach { it.answer.complete(readBack(it, error)) } },
        )
    }

    private suspend fun settle(
        batch: List<Pending>,
        outcome: TransactionOutcome,
    ) {
        when (outcome) {
            is TransactionOutcome.Committed ->
                batch.forEach { it.answer.complete(ReceiptState(it.receipt, reserved = true)) }
            is TransactionOutcome.Declined -> {
                val found = outcome.read.associateBy { it.key }
                val (taken, free) = batch.partition { it.reserve && SharedKeys.receipt(it.key) in found }
                taken.forEach { it.answer.complete(stateOf(it, found.getValue(SharedKeys.receipt(it.key)))) }
                commit(free)
            }
        }
    }

    private suspend fun readBack(
        pending: Pending,
        error: KeyValueError,
    ): PeerMessage {
        val found = store.get(SharedKeys.receipt(pending.key)).get() ?: return refusal(error.detail)
        return stateOf(pending, found)
    }

    private fun stateOf(
        pending: Pending,
        found: KeyValueEntry,
    ): PeerMessage {
        val receipt = Jsons.wire.decodeFromString(Receipt.serializer(), found.value)
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
