package bergamotwall.gateway.http

/**
 * Limits of the connections to targets.
 *
 * [connectTimeoutMillis]: a target in another data centre answers in a few milliseconds; a lost opening packet is sent
 * again after a second. [idleMillis]: used where a target does not state its own idle time-out.
 */
public data class TargetClientLimits(val connectTimeoutMillis: Int = 1_000, val idleMillis: Long = 5_000)
