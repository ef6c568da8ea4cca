package bergamotwall.decisions

import bergamotwall.model.TargetId

/**
 * A target as placement sees it. [local]: it is in the same data centre. [available]: it may get work, that is, it is
 * not backing off after failures.
 */
public data class CandidateTarget(
    val id: TargetId,
    val slots: Int,
    val running: Int,
    val local: Boolean,
    val available: Boolean,
    val latencyMillis: Long = 0,
) {
    /** Number of free slots. */
    public val free: Int get() = slots - running
}
