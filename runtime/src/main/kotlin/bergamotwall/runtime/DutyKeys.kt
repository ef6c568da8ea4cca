package bergamotwall.runtime

/** Keys of a duty: that of its [lease], and if wanted one that names the [lastHolder] and stays when the lease ends. */
public data class DutyKeys(val lease: String, val lastHolder: String? = null)
