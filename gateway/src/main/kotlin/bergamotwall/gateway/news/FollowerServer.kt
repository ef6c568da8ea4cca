package bergamotwall.gateway.news

import bergamotwall.drivers.KeyValueChanges
import bergamotwall.gateway.store.messageOf
import bergamotwall.model.FollowChanges
import bergamotwall.model.FollowList
import bergamotwall.model.FollowedChanges
import bergamotwall.model.FollowedEntries
import bergamotwall.model.PeerMessage
import bergamotwall.model.StoreFailure
import bergamotwall.model.StoreFailureKind
import bergamotwall.runtime.Clock
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.read
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Serves other processes from the copies of this one. Refuses while a copy has had no direct proof for
 * [maxAgeMillis], so that nothing is passed on over more than one process.
 */
internal class FollowerServer(
    private val watches: (prefix: String) -> SharedWatch?,
    private val clock: Clock,
    private val maxAgeMillis: Long,
) {
    /** The response to [message], or null if that is not a request to a follower. */
    suspend fun handle(message: PeerMessage): PeerMessage? =
        when (message) {
            is FollowList -> watches(message.prefix)?.let { entriesOf(it.copy) } ?: refusal
            is FollowChanges -> watches(message.prefix)?.let { changesOf(it, message) } ?: refusal
            else -> null
        }

    private fun entriesOf(copy: PrefixCopy): PeerMessage? {
        val served = copy.servedListing()?.takeIf { it.proof.isRecent() } ?: return null
        val entries = served.content.entries.map { messageOf(it) }
        return FollowedEntries(entries, served.content.revision, served.proof.millisUntil(clock.read()))
    }

    private suspend fun changesOf(
        watch: SharedWatch,
        message: FollowChanges,
    ): PeerMessage? {
        if (message.urgent) watch.urgentReader()
        val copy = watch.copy
        val received = clock.read()
        val version = copy.version.value
        val before = copy.servedSince(message.after)?.takeIf { it.proof.isRecent() } ?: return null
        val waitMillis = minOf(message.waitMillis, maxAgeMillis - before.proof.millisUntil(received))
        if (waitMillis > 0 && before.content?.changes?.isEmpty() == true) {
            withTimeoutOrNull(waitMillis) { copy.version.first { it != version } }
        }
        return copy.servedSince(message.after)?.let { responseOf(it, received) }
    }

    private fun responseOf(
        served: Served<KeyValueChanges?>,
        received: ClockReading,
    ): PeerMessage {
        val changes = served.content ?: return historyGone
        // Read after the copy, so that the age is not too low however long the process was paused before.
        val now = clock.read()
        val waitedMillis =
            minOf(now.monotonicMillis - received.monotonicMillis, now.wallMillis - received.wallMillis)
        return FollowedChanges(
            changes.changes.map { messageOf(it) },
            changes.revision,
            served.proof.millisUntil(now),
            waitedMillis.coerceAtLeast(0),
        )
    }

    private fun ClockReading.isRecent() = millisUntil(clock.read()) <= maxAgeMillis

    private companion object {
        private val refusal = StoreFailure(StoreFailureKind.UNAVAILABLE, "not a follower with a recent proof", false)
        private val historyGone = StoreFailure(StoreFailureKind.HISTORY_COMPACTED, "no longer in the log", false)
    }
}
