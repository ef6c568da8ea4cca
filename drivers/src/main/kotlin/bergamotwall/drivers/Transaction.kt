package bergamotwall.drivers

/** If all [conditions] hold, does all [writes]; otherwise reads the keys of [orElseRead]. */
public data class Transaction(
    val conditions: List<Condition>,
    val writes: List<Write>,
    val orElseRead: List<String> = emptyList(),
)

/** Condition of a [Transaction]. */
public sealed interface Condition {
    /** The key that it is about. */
    public val key: String

    /** The last write that the key must have; 0 if it must not exist. */
    public val modRevision: Long

    /** The key must not exist. */
    public data class Absent(override val key: String) : Condition {
        override val modRevision: Long get() = 0
    }

    /** The key's last write must be [modRevision]; 0 if it must not exist. */
    public data class Unchanged(override val key: String, override val modRevision: Long) : Condition
}

/** Write of a [Transaction]. */
public sealed interface Write {
    /** Puts [value]; it goes when [lease] does, if given. */
    public data class Put(val key: String, val value: String, val lease: LeaseId? = null) : Write

    /** Deletes the key. */
    public data class Delete(val key: String) : Write
}

/** Outcome of a [Transaction] that was answered. */
public sealed interface TransactionOutcome {
    /** Committed at [revision]. */
    public data class Committed(val revision: Long) : TransactionOutcome

    /** A condition did not hold; [read] are the entries found under the keys to read. */
    public data class Declined(val read: List<KeyValueEntry>) : TransactionOutcome
}
