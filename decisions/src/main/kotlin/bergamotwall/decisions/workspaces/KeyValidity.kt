package bergamotwall.decisions.workspaces

/**
 * Decides whether a key that the configuration in force contains may still be accepted.
 *
 * Failure that it is designed for: a process is cut off from the key-value service, or paused, while a newer
 * configuration removes the key. It can't learn of that, so it accepts keys only while the configuration was known to
 * be the newest recently. [revokeMillis]: time after the acknowledgement of the removal from which on no request with
 * the key may run; null if there is no such bound.
 */
public class KeyValidity(revokeMillis: Long?) {
    /** A tenth is left for the granularity of the clocks and for a request on its way to this check. */
    private val validMillis: Long? = revokeMillis?.let { it - it / MARGIN_PARTS }

    /**
     * Whether a key may be accepted [proof] after the configuration was known to be the newest, null if it never was
     * since the start of the process.
     */
    public fun accepts(proof: ProofAge?): Boolean = validMillis == null || proof != null && proof.millis < validMillis

    private companion object {
        private const val MARGIN_PARTS = 10
    }
}
