package bergamotwall.gateway.http

/**
 * Limits of connections to targets.
 *
 * [connectTimeoutMillis]: a target in another data centre accepts a connection within a few milliseconds; a lost SYN
 * packet is retransmitted only after a second. [idleMillis]: idle timeout for targets that don't advertise their own.
 */
public data class TargetClientLimits(val connectTimeoutMillis: Int = 1_000, val idleMillis: Long = 5_000)
