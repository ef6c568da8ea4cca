package bergamotwall.decisions.crashes

/** Whether an interruption was the crash of its target. */
public enum class InterruptionVerdict {
    /** Counts as a crash until the target proves to be still running. */
    PRESUMED_CRASH,

    /** The incarnation of the target is gone. */
    CRASH,

    /** The target was still running, or the interruption is too old. Every process finds this by itself. */
    DISMISSED,

    /** The content completed later, at this process. */
    DISPROVED;

    /** Whether the interruption counts as a crash. */
    public val counts: Boolean get() = this == PRESUMED_CRASH || this == CRASH
}
