package bergamotwall.drivers

/** Changes up to [revision], oldest first; later changes are requested with [revision] as the start. */
public data class KeyValueChanges(val changes: List<KeyValueChange>, val revision: Long)
