package bergamotwall.decisions.crashes

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
