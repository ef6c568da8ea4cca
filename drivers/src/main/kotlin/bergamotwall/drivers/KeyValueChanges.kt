package bergamotwall.drivers

/** Changes up to [revision], oldest first. To read later ones, pass [revision] to [ChangeFeed.changes]. */
public data class KeyValueChanges(val changes: List<KeyValueChange>, val revision: Long)
