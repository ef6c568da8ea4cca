package bergamotwall.drivers

/** Entries read at [revision] or later; the changes after [revision] bring them up to date. */
public data class KeyValueListing(val entries: List<KeyValueEntry>, val revision: Long)
