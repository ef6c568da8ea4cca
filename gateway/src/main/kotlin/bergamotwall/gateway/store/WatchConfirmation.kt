package bergamotwall.gateway.store

import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.read

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

    /** Time since the proof. */
    public fun ageMillis(clock: Clock): Long = ClockReading(atMillis, atWallMillis).millisUntil(clock.read())
}
