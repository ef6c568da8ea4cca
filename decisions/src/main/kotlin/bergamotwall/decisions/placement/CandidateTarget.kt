package bergamotwall.decisions.placement

import bergamotwall.model.TargetId

/**
 * A target as placement sees it. [local]: it is in the same data centre. [available]: it may get work, that is, it is
 * not backing off after failures. [admitted]: how many more requests its request limit lets this process send now.
 */
public data class CandidateTarget(
    val id: TargetId,
    val slots: Int,
    val running: Int,
    val local: Boolean,
    val available: Boolean,
    val latencyMillis: Long = 0,
    val admitted: Int = Int.MAX_VALUE,
) {
    /** Number of free slots that may be used now. */
    public val free: Int get() = minOf(slots - running, admitted)
}
