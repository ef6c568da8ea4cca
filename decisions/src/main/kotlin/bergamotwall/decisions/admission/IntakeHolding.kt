package bergamotwall.decisions.admission

/** What a connection holds for a request that has not begun to run, or for a response that its client does not read. */
public interface IntakeHolding {
    public val heldBytes: Long

    /** Time since its client last sent or read anything. */
    public val stalledMillis: Long

    /** Time since the start of the request, if it waits for memory. */
    public val waitingMillis: Long?
}
