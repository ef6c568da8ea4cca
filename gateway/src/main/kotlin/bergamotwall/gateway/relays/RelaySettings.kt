package bergamotwall.gateway.relays

import kotlinx.serialization.Serializable

/** When the path to a target is considered lost, and how long requests are relayed then. */
@Serializable
public data class RelaySettings(
    /**
     * A target from which nothing has arrived for this long, while it owes a response, is connected to in order to find
     * out whether it can be reached.
     */
    val silenceMillis: Long = 500,
    /** Longest wait for that connection, and for those that find out whether a lost path is back. */
    val connectMillis: Int = 300,
    /** Connections that must fail before a silent path is considered lost: one lost packet is no lost path. */
    val connectAttempts: Int = 2,
    /** Shortest time between two checks of a path: a connection to an engine that is only slow is paid for in vain. */
    val checkPauseMillis: Long = 2_000,
    /**
     * Once two paths were lost within this time, all paths in use are checked: then this process may be cut off, and no
     * request should have to find out for each target.
     */
    val suspicionMillis: Long = 3_000,
    /** Time between two attempts to connect over a lost path. */
    val reconnectMillis: Long = 500,
    /** How long a path that neither a direct connection nor a peer offers is not tried over peers again. */
    val noRelayMillis: Long = 500,
    /** Peers that are tried for one request: if half of them are cut off too, one request in eight finds none. */
    val maxPeers: Int = 3,
    /** How long a peer that could not reach a target is tried last for it, and one that reached any is tried first. */
    val memoryMillis: Long = 3_000,
)
