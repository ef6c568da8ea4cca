package bergamotwall.decisions.batches

/**
 * Decides what the owner of a record in the key-value service may do while it can't know whether another process has
 * taken over or ended the record.
 *
 * Load pattern: an owner is slow, paused or unreachable for its peers. They take over its batches or end
 * them in the key-value service only, and the owner runs on with items of long duration, whose results would be the
 * next occasion to notice. All times are ages on the owner's clocks.
 *
 * [boundMillis]: time after a change within which the owner must act on it.
 */
public class OwnershipPolicy(boundMillis: Long) {
    /** Age of the last proof, or of the last failed check, from which on the record is checked. */
    private val checkAfterMillis: Long = boundMillis / PARTS

    /** The rest of the bound is left for a request on its way to the target. */
    private val validMillis: Long = boundMillis / PARTS * 2

    /** Longest duration of a check: it ends while the proof before it is still valid. */
    public val checkTimeoutMillis: Long = (validMillis - checkAfterMillis) / 2

    /** Whether the owner knows of all changes that others had to act on. */
    public fun isCurrent(proofAgeMillis: Long): Boolean = proofAgeMillis <= validMillis

    /**
     * Whether the owner may start work. While the key-value service fails, no other process can take over, so the owner
     * continues. [failureAgeMillis] is the time since the last check that failed, null if the last one succeeded.
     */
    public fun mayStartWork(
        proofAgeMillis: Long,
        failureAgeMillis: Long?,
    ): Boolean = isCurrent(proofAgeMillis) || failureAgeMillis != null && isCurrent(failureAgeMillis)

    /** Time until the record is to be checked, not positive if that is due. */
    public fun untilCheckMillis(
        proofAgeMillis: Long,
        failureAgeMillis: Long?,
    ): Long = checkAfterMillis - minOf(proofAgeMillis, failureAgeMillis ?: proofAgeMillis)

    private companion object {
        private const val PARTS = 3
    }
}
