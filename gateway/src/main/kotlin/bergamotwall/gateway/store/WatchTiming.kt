package bergamotwall.gateway.store

/**
 * Timing of a watch on a prefix. [waitMillis]: maximum duration of one long poll; bounds how long a dead connection
 * goes unnoticed. [pauseMillis] returns the pause after changes, so that a burst of changes takes few calls.
 * [graceMillis]: how long registrations that expired in an outage are kept after it, so that their owners can renew
 * them. [outageEndMillis] returns when the last outage ended, on the monotonic clock, null if there was none.
 * [retryMillis]: pause after a failed call. [provesChangesAtOnce]: the poll after a change does not wait, so that its
 * response proves soon that no other change followed.
 */
public data class WatchTiming(
    val waitMillis: Long,
    val pauseMillis: () -> Long,
    val graceMillis: Long,
    val outageEndMillis: () -> Long?,
    val retryMillis: Long,
    val provesChangesAtOnce: Boolean = false,
)
