package bergamotwall.drivers

/** One change of a key. */
public sealed interface KeyValueChange {
    /** The key that changed. */
    public val key: String

    /** The key was written. */
    public data class Put(val entry: KeyValueEntry) : KeyValueChange {
        override val key: String get() = entry.key
    }

    /** The key was deleted, explicitly or because its lease ended. */
    public data class Deleted(override val key: String) : KeyValueChange
}
