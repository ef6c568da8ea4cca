package bergamotwall.runtime

import bergamotwall.drivers.KeyValueEntry

/** The entries of a leadership's keys as a watch knows them; null for a key that does not exist. */
public data class WatchedLeadership(val lease: KeyValueEntry?, val lastHolder: KeyValueEntry?)
