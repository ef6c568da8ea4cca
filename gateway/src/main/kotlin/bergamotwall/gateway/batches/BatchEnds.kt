package bergamotwall.gateway.batches

import bergamotwall.drivers.TransactionOutcome
import bergamotwall.model.BatchId
import bergamotwall.runtime.Clock
import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger
import kotlin.random.Random

/**
 * Stores the ends of batches durably. If the key-value service does not respond within [timeoutMillis], that goes on in
 * the background for up to [LONGEST_OUTAGE_MILLIS], for at most [MAX_UNDER_WAY] batches: an end takes effect even if
 * its caller does not request it again. Confined to the batch loop, on which [scope] runs.
 */
internal class BatchEnds(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val random: Random,
    private val timeoutMillis: Long,
) {
    private val underWay = HashMap<BatchId, Deferred<EndOutcome?>>()

    /** Repeats [attempt] to store the end of batch [id] until it returns an outcome, null if it is not known. */
    suspend fun store(
        id: BatchId,
        attempt: suspend () -> EndOutcome?,
    ): EndOutcome {
        val storing = underWay[id] ?: start(id, attempt)
        return withTimeoutOrNull(timeoutMillis) { storing?.await() }
            ?: EndOutcome.Unavailable("the end is not stored durably yet")
    }

    private fun start(
        id: BatchId,
        attempt: suspend () -> EndOutcome?,
    ): Deferred<EndOutcome?>? {
        if (underWay.size >= MAX_UNDER_WAY) return null
        return scope.async { repeatedly(id, attempt) }.also { underWay[id] = it }
    }

    /** Waits until all ends are stored, at most `timeoutMillis`. */
    suspend fun awaitCompletion() {
        withTimeoutOrNull(timeoutMillis) { underWay.values.toList().joinAll() }
    }

    private suspend fun repeatedly(
        id: BatchId,
        attempt: suspend () -> EndOutcome?,
    ): EndOutcome? {
        try {
            val retries = RetrySchedule(clock, random, clock.monotonicMillis() + LONGEST_OUTAGE_MILLIS)
            while (retries.awaitNext()) attempt()?.let { return it }
            Logger.warn("event=end_not_stored batch={}", id.value)
            return null
        } finally {
            underWay.remove(id)
        }
    }

    private companion object {
        /** Longer than the key-value service is expected to be down. */
        private const val LONGEST_OUTAGE_MILLIS = 600_000L

        /** Bounds the calls to a service that fails: each batch takes one about every second. */
        private const val MAX_UNDER_WAY = 50
    }
}

/** Tries to store the end of this batch; returns null if that is not known to have succeeded. */
internal suspend fun OwnedBatch.storeEnd(
    store: BatchStore,
    checks: OwnershipChecks,
): EndOutcome? {
    if (!known.record.ownership.ended) {
        val ended = known.record.ownership.copy(ended = true)
        val outcome = store.replace(record.id, known.record, ended).get() as? TransactionOutcome.Committed
        if (outcome != null) known.record = known.record.copy(ownership = ended, revision = outcome.revision)
    }
    if (!known.record.ownership.ended) checks.check(this)
    return when {
        known.record.ownership.ended -> EndOutcome.Ended
        known.removed -> EndOutcome.Absent
        else -> null
    }
}
