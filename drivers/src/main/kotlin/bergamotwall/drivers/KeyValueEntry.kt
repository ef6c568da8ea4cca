package bergamotwall.drivers

/** One entry; [modRevision] is the revision of its last write, [createRevision] that of its creation. */
public data class KeyValueEntry(
    val key: String,
    val value: String,
    val modRevision: Long,
    val createRevision: Long,
)
