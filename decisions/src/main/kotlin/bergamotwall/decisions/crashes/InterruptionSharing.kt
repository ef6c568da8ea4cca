package bergamotwall.decisions.crashes

/** Whether other processes know of an interruption. */
public enum class InterruptionSharing {
    /** Known to this process only. */
    LOCAL,

    /** Written to the key-value service, but not seen there yet. */
    WRITTEN,

    /** Seen in the key-value service. */
    STORED,
}
