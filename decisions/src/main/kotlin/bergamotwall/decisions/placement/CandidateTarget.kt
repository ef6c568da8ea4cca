package bergamotwall.decisions.placement

import bergamotwall.model.TargetId

/**
 * A target as placement sees it. [local]: it is in the same data centre. [available]: it may get work, that is, it is
 * not backing off after failures. [admitted]: how many more requests its request limit lets this process send now.
 * [slowdown]: its momentary slowdown if it reports one; [latencyMillis] and [tokenMillis], the time for a token of an
 * item, are then those at its usual speed.
 */
public data class CandidateTarget(
    val id: TargetId,
    val slots: Int,
    val running: Int,
    val local: Boolean,
    val available: Boolean,
    val latencyMillis: Long = 0,
    val admitted: Int = Int.MAX_VALUE,
    val slowdown: Slowdown? = null,
    val tokenMillis: Double = 0.0,
) {
    /** Number of free slots that may be used now. */
    public val free: Int get() = minOf(slots - running, admitted)
}
