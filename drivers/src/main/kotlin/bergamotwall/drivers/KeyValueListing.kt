package bergamotwall.drivers

/** Entries as of [revision]. */
public data class KeyValueListing(val entries: List<KeyValueEntry>, val revision: Long)
