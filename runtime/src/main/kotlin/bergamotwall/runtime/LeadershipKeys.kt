package bergamotwall.runtime

/**
 * Keys of a leadership: that of its [lease], and optionally the key [lastHolder], which names the last leader that
 * acted and outlives the lease.
 */
public data class LeadershipKeys(val lease: String, val lastHolder: String? = null)
