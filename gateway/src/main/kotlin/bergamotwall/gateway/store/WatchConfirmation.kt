package bergamotwall.gateway.store

import bergamotwall.model.NodeId

/**
 * The latest proof that a watch knows the current keys: as of [atMillis] on the monotonic clock, it had seen all
 * changes. [gapMillis] is the time since the proof before it, [relay] the process that relayed the response, null if it
 * came directly from the service.
 */
public data class WatchConfirmation(val atMillis: Long, val gapMillis: Long, val relay: NodeId?) {
    /** The path of the response, for logs. */
    public val path: String get() = relay?.let { "relay ${it.value}" } ?: "direct"
}
