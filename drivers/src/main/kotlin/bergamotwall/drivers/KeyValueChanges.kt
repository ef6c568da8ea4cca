package bergamotwall.drivers

/** Changes up to [revision], eldest first; ask for what follows with that revision. */
public data class KeyValueChanges(val changes: List<KeyValueChange>, val revision: Long)
