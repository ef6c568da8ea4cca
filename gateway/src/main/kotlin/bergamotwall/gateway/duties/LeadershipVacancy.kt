package bergamotwall.gateway.duties

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.LeadershipKeys
import java.util.concurrent.atomic.AtomicLong

/**
 * Whether the leadership stored under [keys] is free, as far as the process [self] knows from the entries that all
 * processes watch. Thread-safe.
 */
internal class LeadershipVacancy(
    private val keys: LeadershipKeys,
    private val self: NodeId,
    private val clock: Clock,
) {
    private val freeSinceMillis = AtomicLong(Long.MAX_VALUE)

    @Volatile
    private var lastLeader: String? = null

    /** The entry of the leader, or null if there is none. */
    @Volatile
    var leader: KeyValueEntry? = null
        private set

    /** Applies the [entries] that all processes watch. */
    fun onStoreChanged(entries: Map<String, KeyValueEntry>) {
        lastLeader = keys.lastHolder?.let { entries[it]?.value }
        leader = entries[keys.lease]
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
        val hasHeadStart = lastLeader in setOf(null, LeadershipKeys.RESIGNED, self.value)
        val sinceMillis = freeSinceMillis.get()
        return sinceMillis != Long.MAX_VALUE &&
            clock.monotonicMillis() >= sinceMillis + if (hasHeadStart) 0 else HEAD_START_MILLIS
    }

    private companion object {
        /** Processes that lost power at the same time restart within about a second of each other. */
        private const val HEAD_START_MILLIS = 1_000L
    }
}
