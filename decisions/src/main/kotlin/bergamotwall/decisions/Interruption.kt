package bergamotwall.decisions

import bergamotwall.model.Fingerprint
import bergamotwall.model.TargetId

/** Identifies the interruption of a run of [content] at [target]. */
public data class InterruptionKey(val content: Fingerprint, val target: TargetId)

/**
 * A run that ended because its target ended the connection. [startedAtMillis] is the start of the target's incarnation,
 * null if unknown; [seenAtMillis] is when this process learned of the interruption, on its monotonic clock.
 */
public data class Interruption(
    val startedAtMillis: Long?,
    val seenAtMillis: Long,
    val verdict: InterruptionVerdict = InterruptionVerdict.PRESUMED_CRASH,
    val sharing: InterruptionSharing = InterruptionSharing.LOCAL,
) {
    /** Whether no other process knows of it. */
    public val local: Boolean get() = sharing == InterruptionSharing.LOCAL
}

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

/** Whether other processes know of an interruption. */
public enum class InterruptionSharing {
    /** Known to this process only. */
    LOCAL,

    /** Written to the key-value service, but not seen there yet. */
    WRITTEN,

    /** Seen in the key-value service. */
    STORED,
}
