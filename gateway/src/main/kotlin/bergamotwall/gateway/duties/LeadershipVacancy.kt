package bergamotwall.gateway.duties

import bergamotwall.decisions.duties.attemptDelayMillis
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.LeadershipKeys
import bergamotwall.runtime.WatchedLeadership
import java.util.concurrent.atomic.AtomicLong

/**
 * Whether the leadership stored under [keys] is free, as far as the process [self] knows from the entries that all
 * processes watch. Thread-safe.
 *
 * [candidates] returns the processes that may become the leader if there are so many that they should not all try at
 * once, else none.
 */
internal class LeadershipVacancy(
    private val keys: LeadershipKeys,
    private val self: NodeId,
    private val clock: Clock,
    private val candidates: () -> Collection<NodeId> = { emptyList() },
) {
    private val freeSinceMillis = AtomicLong(Long.MAX_VALUE)

    @Volatile
    private var known: WatchedLeadership? = null

    /** The entry of the leader, or null if there is none. */
    val leader: KeyValueEntry? get() = known?.lease

    /** What is known of the keys; null before the first listing, and in a small fleet, where they are read instead. */
    val watched: WatchedLeadership? get() = known?.takeIf { candidates().isNotEmpty() }

    /** Applies the [entries] that all processes watch. */
    fun onStoreChanged(entries: Map<String, KeyValueEntry>) {
        known = WatchedLeadership(entries[keys.lease], keys.lastHolder?.let { entries[it] })
        if (keys.lease in entries) {
            freeSinceMillis.set(Long.MAX_VALUE)
        } else {
            freeSinceMillis.compareAndSet(Long.MAX_VALUE, clock.monotonicMillis())
        }
    }

    /**
     * Whether this process should try to become the leader, because there is none. The last leader gets a head start,
     * as it need not wait before it sends orders again.
     */
    fun shouldAcquire(): Boolean {
        val sinceMillis = freeSinceMillis.get()
        if (sinceMillis == Long.MAX_VALUE) return false
        val lastLeader = known?.lastHolder?.value
        val hasHeadStart = lastLeader in setOf(null, LeadershipKeys.RESIGNED, self.value)
        val others = candidates().filter { it.value != lastLeader }
        val delayMillis =
            when {
                lastLeader == self.value -> 0
                hasHeadStart -> attemptDelayMillis(keys.lease, self, others)
                else -> HEAD_START_MILLIS + attemptDelayMillis(keys.lease, self, others)
            }
        return clock.monotonicMillis() >= sinceMillis + delayMillis
    }

    private companion object {
        /** Processes that lost power at the same time restart within about a second of each other. */
        private const val HEAD_START_MILLIS = 1_000L
    }
}
