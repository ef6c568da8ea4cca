package bergamotwall.gateway.store

import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock

/**
 * The latest proof that a watch knows the current keys: as of [atMillis] on the monotonic clock, [atWallMillis] on the
 * wall clock, it had seen all changes. [gapMillis] is the time since the proof before it, [relay] the process that
 * relayed the response, null if it came directly from the service.
 */
public data class WatchConfirmation(
    val atMillis: Long,
    val atWallMillis: Long,
    val gapMillis: Long,
    val relay: NodeId?,
) {
    /** The path of the response, for logs. */
    public val path: String get() = relay?.let { "relay ${it.value}" } ?: "direct"

    /**
     * Time since the proof. The monotonic clock does not count the time for which the VM was suspended, and the wall
     * clock may be set back, so the longer of the two counts.
     */
    public fun ageMillis(clock: Clock): Long =
        maxOf(clock.monotonicMillis() - atMillis, clock.wallMillis() - atWallMillis)
}
