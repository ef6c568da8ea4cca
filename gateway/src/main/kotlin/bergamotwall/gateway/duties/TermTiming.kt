package bergamotwall.gateway.duties

/** Timing of the leadership of a task whose orders may still be under way when the leader changes. */
internal data class TermTiming(
    /** Time from the acquisition of the lease until no order of the previous leader can arrive any more. */
    val predecessorWaitMillis: Long,
    /** Pause between the orders of two leaders. */
    val pauseMillis: Long,
    /** How long a process that gave up the leadership does not acquire it again. */
    val abstainMillis: Long,
)
