package bergamotwall.decisions

import bergamotwall.model.TargetId

/** A target as placement sees it; [open] is false while it backs off after failures. */
public data class CandidateTarget(
    val id: TargetId,
    val slots: Int,
    val running: Int,
    val local: Boolean,
    val open: Boolean,
    val latencyMillis: Long = 0,
) {
    /** Slots that are free. */
    public val free: Int get() = slots - running
}
