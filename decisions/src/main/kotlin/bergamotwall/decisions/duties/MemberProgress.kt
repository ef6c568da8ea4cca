package bergamotwall.decisions.duties

/**
 * What a leader knows of the starts of one process, in the fleet's time. All starts before [completeUntilMillis] are
 * known; null if nothing was received from the process yet. [lastStartMillis] is its latest known start, or null.
 */
public data class MemberProgress(val completeUntilMillis: Long?, val lastStartMillis: Long? = null) {
    /**
     * Whether all starts of the process before [untilMillis] are known.
     *
     * Load: in a large fleet most processes have no starts for minutes, and report rarely. They push a start within a
     * fraction of a second, so one that had none lately is complete if it reported at its usual interval.
     */
    public fun isComplete(untilMillis: Long): Boolean {
        val until = completeUntilMillis ?: return false
        val active = lastStartMillis != null && lastStartMillis >= untilMillis - ACTIVE_MILLIS
        return until >= untilMillis - if (active) 0 else IDLE_MILLIS
    }

    /** Intervals. */
    public companion object {
        /** A process that had a start this recently is active. */
        public const val ACTIVE_MILLIS: Long = 30_000

        /** Longer than the interval at which an idle process pushes. */
        public const val IDLE_MILLIS: Long = 6_000
    }
}
