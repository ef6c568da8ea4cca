package bergamotwall.runtime

/**
 * Keys of a leadership: that of its [lease], and optionally the key [lastHolder], which names the last leader that
 * acted and outlives the lease.
 */
public data class LeadershipKeys(val lease: String, val lastHolder: String? = null) {
    /** Values of [lastHolder] other than the id of a process. */
    public companion object {
        /** The last leader resigned: it knows that none of its orders is under way, and sends no more. */
        public const val RESIGNED: String = "-"
    }
}
