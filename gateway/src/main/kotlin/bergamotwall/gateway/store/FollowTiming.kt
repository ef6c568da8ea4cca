package bergamotwall.gateway.store

/**
 * How a prefix is followed. [waitMillis]: longest wait of one call; bounds how long a connection that fell silent goes
 * unnoticed. [coalesceMillis]: pause after changes, so that a burst of them takes few calls. [graceMillis]: how long
 * registrations may take to come back after an outage. [retryMillis]: pause after a failed call.
 */
public data class FollowTiming(
    val waitMillis: Long,
    val coalesceMillis: Long,
    val graceMillis: Long,
    val retryMillis: Long,
)
