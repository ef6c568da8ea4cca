package bergamotwall.decisions.batches

/** Why the owner of a record may need to know soon whether it has changed. */
public enum class OwnershipDemand {
    /** The fleet is small enough for frequent checks. */
    USUAL,

    /** The fleet is large, and work of the record waits to be started. */
    STARTING_WORK,

    /** The fleet is large, and nothing waits to be started. */
    RUNNING_WORK,
}

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
public class OwnershipPolicy(private val boundMillis: Long) {
    /** Age of the last proof, or of the last failed check, from which on the record is usually checked. */
    private val checkAfterMillis: Long = boundMillis / PARTS

    /** The rest of the bound is left for a request on its way to the target. */
    private val validMillis: Long = boundMillis / PARTS * 2

    /** Longest duration of a check: it ends while the proof before it is still valid. */
    public val checkTimeoutMillis: Long = (validMillis - checkAfterMillis) / 2

    private val marginMillis = boundMillis / MARGIN_PARTS

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

    /**
     * Time until the record is to be checked, not positive if that is due. In a large fleet, a check begins as late as
     * allows it to take [checkTimeoutMillis] and the owner to act in time: to start work without a pause, or else to
     * learn of a change within the bound.
     */
    public fun untilCheckMillis(
        proofAgeMillis: Long,
        failureAgeMillis: Long?,
        demand: OwnershipDemand = OwnershipDemand.USUAL,
    ): Long {
        val afterMillis =
            when (demand) {
                OwnershipDemand.USUAL -> checkAfterMillis
                OwnershipDemand.STARTING_WORK -> validMillis - checkTimeoutMillis - marginMillis
                OwnershipDemand.RUNNING_WORK -> boundMillis - checkTimeoutMillis - marginMillis
            }
        return afterMillis - minOf(proofAgeMillis, failureAgeMillis ?: proofAgeMillis)
    }

    private companion object {
        private const val PARTS = 3

        /** 100 ms of 3,000, for a timer that fires late. */
        private const val MARGIN_PARTS = 30
    }
}
