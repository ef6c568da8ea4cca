package bergamotwall.gateway.store

import bergamotwall.decisions.membership.WatchedKeys
import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueChange
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.launchSupervised
import bergamotwall.runtime.read
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.tinylog.Logger

/**
 * Watches all keys under [prefix] and passes the current entries to [onChange] after each change. Lists the prefix,
 * then long-polls for changes, and lists it again if the service has dropped the history in between. A failed call
 * never removes entries.
 *
 * After a failed call the watch polls without a wait until a call succeeds: such a poll fails early where no response
 * comes, and may be sent over several paths at once.
 */
public class PrefixWatcher(
    private val prefix: String,
    private val store: KeyValueStore,
    private val feed: ChangeFeed,
    private val clock: Clock,
    private val timing: WatchTiming,
    private val onChange: (Map<String, KeyValueEntry>) -> Unit,
) {
    private val keys = WatchedKeys<KeyValueEntry>(timing.graceMillis)
    private var revision: Long? = null
    private var failing = false

    /** The latest proof that the entries are current; null before the first listing. */
    @Volatile
    public var confirmation: WatchConfirmation? = null
        private set

    /**
     * The latest proof that the entries passed to [onChange] are current. Unlike [confirmation], it is recorded once
     * they have been passed on, and counts a response with changes as of its request, because that response may have
     * been delayed on its way. Null before the first listing.
     */
    @Volatile
    public var appliedConfirmation: WatchConfirmation? = null
        private set

    /** Whether the last response proved nothing about the time since its request. */
    private var proofDue = false

    /** Starts to watch in [scope]. */
    public fun start(scope: CoroutineScope): Job =
        scope.launchSupervised("watch $prefix") {
            // After an error, a change may have been passed on in part only.
            revision = null
            while (true) {
                val currentRevision = revision
                if (currentRevision == null) list() else poll(currentRevision)
                if (keys.expire(clock.monotonicMillis())) onChange(keys.current())
            }
        }

    private suspend fun list() {
        val sent = clock.read()
        store.list(prefix).fold(
            success = { listing ->
                onSuccess()
                confirm(sent, listing.provenAfterMillis, listing.relay)
                keys.listed(listing.entries.associateBy { it.key }, clock.monotonicMillis())
                revision = listing.revision
                onChange(keys.current())
                applied(sent, listing.provenAfterMillis, listing.relay)
            },
            failure = { onFailure(it) },
        )
    }

    private suspend fun poll(fromRevision: Long) {
        val dueMillis = keys.expiryAtMillis()?.let { it - clock.monotonicMillis() } ?: timing.waitMillis
        val waitMillis = if (failing || proofDue) 0 else dueMillis.coerceIn(1, timing.waitMillis)
        val sent = clock.read()
        feed.changes(prefix, fromRevision, waitMillis).fold(
            success = { response ->
                onSuccess()
                val received = clock.read()
                // A response without changes may have been delayed since the end of the wait. If the VM was suspended,
                // the response may have been waiting for it all the while.
                val waitedMillis = if (response.changes.isEmpty()) waitMillis else Long.MAX_VALUE
                val provenMillis =
                    if (sent.suspendedMillisUntil(received) > SUSPENSION_MILLIS) {
                        0
                    } else {
                        minOf(waitedMillis, received.monotonicMillis - sent.monotonicMillis)
                    }
                confirm(sent, response.provenAfterMillis ?: provenMillis, response.relay)
                // Without changes the revision stays as it is. If the call missed a change because the service had
                // dropped its history, the next call with the same revision returns the change, or an error.
                if (response.changes.isNotEmpty()) {
                    revision = response.revision
                    response.changes.forEach { apply(it) }
                    onChange(keys.current())
                    // What a follower proves allows for delays on the way already.
                    applied(sent, response.provenAfterMillis ?: 0, response.relay)
                    proofDue = timing.provesChangesAtOnce && response.provenAfterMillis == null
                    delay(timing.pauseMillis())
                } else {
                    applied(sent, response.provenAfterMillis ?: provenMillis, response.relay)
                    proofDue = false
                }
            },
            failure = { onFailure(it) },
        )
    }

    /** Records the proof that the entries were current [afterMillis] after [sent]. */
    private fun confirm(
        sent: ClockReading,
        afterMillis: Long,
        relay: NodeId?,
    ) {
        confirmation = confirmationOf(confirmation, sent, afterMillis, relay)
    }

    /** Records the proof that the entries that were passed on were current [afterMillis] after [sent]. */
    private fun applied(
        sent: ClockReading,
        afterMillis: Long,
        relay: NodeId?,
    ) {
        appliedConfirmation = confirmationOf(appliedConfirmation, sent, afterMillis, relay)
    }

    /**
     * The proof that the entries were current [afterMillis] after [sent], or [previous] if that is later: what a
     * follower proves may be older than what the one before it proved.
     */
    private fun confirmationOf(
        previous: WatchConfirmation?,
        sent: ClockReading,
        afterMillis: Long,
        relay: NodeId?,
    ): WatchConfirmation? {
        val atMillis = sent.monotonicMillis + afterMillis
        val gapMillis = atMillis - (previous?.atMillis ?: atMillis)
        val later = WatchConfirmation(atMillis, sent.wallMillis + afterMillis, gapMillis, relay)
        return if (gapMillis < 0) previous else later
    }

    private fun apply(change: KeyValueChange) {
        when (change) {
            is KeyValueChange.Put -> keys.put(change.key, change.entry)
            is KeyValueChange.Deleted -> keys.deleted(change.key, clock.monotonicMillis())
        }
    }

    private fun onSuccess() {
        if (failing) {
            failing = false
            // A watch may be cut while the service runs: what is deleted then is gone.
            timing.outageEndMillis()?.let { keys.recovered(it) }
            Logger.info("event=store_regained prefix={}", prefix)
        }
    }

    private suspend fun onFailure(error: KeyValueError) {
        if (error is KeyValueError.HistoryCompacted) {
            revision = null
            Logger.info("event=store_history_gone prefix={}", prefix)
            return
        }
        if (failing) {
            delay(timing.retryMillis)
        } else {
            Logger.warn("event=store_lost prefix={} cause=\"{}\"", prefix, error.detail)
            failing = true
        }
    }

    private companion object {
        /** Far more than the clocks drift apart during a poll. */
        private const val SUSPENSION_MILLIS = 200L
    }
}
