package bergamotwall.gateway.batches

import bergamotwall.decisions.batches.OwnershipDemand
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.launchSupervised
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/**
 * Reads the ownership records of owned batches when nothing else has proven for a while that they are unchanged:
 * another process may have taken over or ended a batch without reaching this one. [onRead] is called with each record
 * and the time at which it was requested, [onFailed] if there was no response. In a large fleet ([isLargeFleet]) the
 * records are read less often, most of all while no work of a batch waits to be sent. Confined to the batch loop, on
 * which [scope] runs.
 */
internal class OwnershipChecks(
    private val scope: CoroutineScope,
    private val store: BatchStore,
    private val batches: () -> Collection<OwnedBatch>,
    private val onRead: (OwnedBatch, OwnershipRecord?, ClockReading) -> Unit,
    private val onFailed: () -> Unit,
    private val isLargeFleet: () -> Boolean,
) {
    private val checks = HashMap<OwnedBatch, Job>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    init {
        scope.launchSupervised("ownership") {
            while (true) {
                val untilNextMillis = startDue()
                if (untilNextMillis == null) {
                    wake.receive()
                } else {
                    withTimeoutOrNull(untilNextMillis) { wake.receive() }
                }
            }
        }
    }

    /** Starts the checks that are due, because a batch was added or its work may wait for a proof. */
    fun wake() {
        wake.trySend(Unit)
    }

    /** Checks [batch] now, or waits for the check in progress. */
    suspend fun check(batch: OwnedBatch): Unit = start(batch).join()

    /** Returns the time until the next check is due, null if no batch is to be checked. */
    private fun startDue(): Long? {
        val large = isLargeFleet()
        val open = batches().filterNot { it.settled }
        val dueMillis = open.associateWith { it.known.untilCheckMillis(demandOf(it, large)) }
        dueMillis.filterValues { it <= 0 }.keys.forEach { start(it) }
        // Work may begin to wait at any time.
        val longestPauseMillis = if (large) RECHECK_MILLIS else Long.MAX_VALUE
        return dueMillis.values.minOrNull()?.coerceIn(SHORTEST_PAUSE_MILLIS, longestPauseMillis)
    }

    private fun demandOf(
        batch: OwnedBatch,
        large: Boolean,
    ): OwnershipDemand =
        when {
            !large -> OwnershipDemand.USUAL
            batch.active && batch.hasWaitingWork -> OwnershipDemand.STARTING_WORK
            else -> OwnershipDemand.RUNNING_WORK
        }

    private fun start(batch: OwnedBatch): Job =
        checks[batch] ?: scope.launch { read(batch) }.also { check ->
            checks[batch] = check
            check.invokeOnCompletion { checks.remove(batch, check) }
        }

    private suspend fun read(batch: OwnedBatch) {
        val sentAt = batch.known.now()
        val read = withTimeoutOrNull(batch.known.checkTimeoutMillis) { store.ownership(batch.record.id) }
        if (read == null) {
            failed(batch, "no response")
        } else {
            read.fold({ onRead(batch, it, sentAt) }, { failed(batch, it.detail) })
        }
    }

    private fun failed(
        batch: OwnedBatch,
        cause: String,
    ) {
        batch.known.checkFailed()
        Logger.info(
            "event=ownership_unconfirmed batch={} age_ms={} cause=\"{}\"",
            batch.record.id.value,
            batch.known.ageMillis,
            cause,
        )
        onFailed()
    }

    private companion object {
        /** While a check is in progress, its batch stays due. */
        private const val SHORTEST_PAUSE_MILLIS = 100L

        /** The usual time between two looks at the waiting items. */
        private const val RECHECK_MILLIS = 250L
    }
}
