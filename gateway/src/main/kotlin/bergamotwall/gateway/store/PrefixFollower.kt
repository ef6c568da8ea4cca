package bergamotwall.gateway.store

import bergamotwall.decisions.FollowedKeys
import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueChange
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.runtime.Clock
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.tinylog.Logger

/**
 * Follows all keys under [prefix] and tells [onChange] what counts after each change. Lists first, then waits for
 * changes; a failed call never lowers what is held.
 */
public class PrefixFollower(
    private val prefix: String,
    private val store: KeyValueStore,
    private val feed: ChangeFeed,
    private val clock: Clock,
    private val timing: FollowTiming,
    private val onChange: (Map<String, KeyValueEntry>) -> Unit,
) {
    private val keys = FollowedKeys<KeyValueEntry>(timing.graceMillis)
    private var revision: Long? = null
    private var failing = false

    /** Starts to follow in [scope]. */
    public fun start(scope: CoroutineScope): Job =
        scope.launch {
            while (true) {
                val known = revision
                if (known == null) list() else follow(known)
                if (keys.expire(clock.monotonicMillis())) onChange(keys.current())
            }
        }

    private suspend fun list() {
        store.list(prefix).fold(
            success = { listing ->
                answered()
                keys.listed(listing.entries.associateBy { it.key }, clock.monotonicMillis())
                revision = listing.revision
                onChange(keys.current())
            },
            failure = { failed(it) },
        )
    }

    private suspend fun follow(from: Long) {
        val dueMillis = keys.expiryAtMillis()?.let { it - clock.monotonicMillis() } ?: timing.waitMillis
        val waitMillis = dueMillis.coerceIn(1, timing.waitMillis)
        feed.changes(prefix, from, waitMillis).fold(
            success = { found ->
                answered()
                // Without changes the revision stays: a call that missed one while history was dropped gets it, or an
                // error, with the next.
                if (found.changes.isNotEmpty()) {
                    revision = found.revision
                    found.changes.forEach { apply(it) }
                    onChange(keys.current())
                    delay(timing.coalesceMillis)
                }
            },
            failure = { failed(it) },
        )
    }

    private fun apply(change: KeyValueChange) {
        when (change) {
            is KeyValueChange.Put -> keys.put(change.key, change.entry)
            is KeyValueChange.Deleted -> keys.deleted(change.key, clock.monotonicMillis())
        }
    }

    private fun answered() {
        if (failing) {
            failing = false
            keys.recovered(clock.monotonicMillis())
            Logger.info("event=store_regained prefix={}", prefix)
        }
    }

    private suspend fun failed(error: KeyValueError) {
        if (error is KeyValueError.HistoryGone) {
            revision = null
            Logger.info("event=store_history_gone prefix={}", prefix)
            return
        }
        if (!failing) Logger.warn("event=store_lost prefix={} cause=\"{}\"", prefix, error.detail)
        failing = true
        delay(timing.retryMillis)
    }
}
