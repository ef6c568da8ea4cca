package bergamotwall.decisions.admission

/**
 * Decides which requests a process that is leaving still accepts.
 *
 * Load pattern: a planned stop under load. Callers send requests on open connections until the process is
 * gone, and what is accepted late is cut off at the end of the grace period, after it has run. Callers that have not
 * learned of the departure yet are served for [settleMillis]; after that, only what ends in any case before [endMillis]
 * is accepted. Both count from the request to stop.
 */
public class LeaveAdmission(private val settleMillis: Long, private val endMillis: Long) {
    /**
     * Whether to accept a request that arrives [elapsedMillis] after the request to stop and takes up to
     * [longestMillis].
     */
    public fun accepts(
        elapsedMillis: Long,
        longestMillis: Long,
    ): Boolean = longestMillis <= remainingMillis(elapsedMillis) || elapsedMillis <= settleMillis

    /** The time by which an accepted request must have its response, [elapsedMillis] after the request to stop. */
    public fun remainingMillis(elapsedMillis: Long): Long = (endMillis - elapsedMillis).coerceAtLeast(0)
}
