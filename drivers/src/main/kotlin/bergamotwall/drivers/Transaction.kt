package bergamotwall.drivers

/** Applies all [writes] atomically if all [conditions] hold; otherwise reads the keys in [orElseRead]. */
public data class Transaction(
    val conditions: List<Condition>,
    val writes: List<Write>,
    val orElseRead: List<String> = emptyList(),
)

/** Condition of a [Transaction]. */
public sealed interface Condition {
    /** Key that the condition tests. */
    public val key: String

    /** Revision that the key's last write must have; 0 if the key must not exist. */
    public val modRevision: Long

    /** The key must not exist. */
    public data class Absent(override val key: String) : Condition {
        override val modRevision: Long get() = 0
    }

    /** The key's last write must have [modRevision]; 0 if the key must not exist. */
    public data class Unchanged(override val key: String, override val modRevision: Long) : Condition
}

/** Write of a [Transaction]. */
public sealed interface Write {
    /** Puts [value]; if [lease] is given, the key is deleted when the lease ends. */
    public data class Put(val key: String, val value: String, val lease: LeaseId? = null) : Write

    /** Deletes the key. */
    public data class Delete(val key: String) : Write
}

/** Outcome of a [Transaction] to which the service responded. */
public sealed interface TransactionOutcome {
    /** Committed at [revision]. */
    public data class Committed(val revision: Long) : TransactionOutcome

    /** A condition did not hold; [read] are the existing entries among the keys to read. */
    public data class Declined(val read: List<KeyValueEntry>) : TransactionOutcome
}
