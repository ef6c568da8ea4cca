package bergamotwall.standins

/** Action of an engine when a request crashes it. */
public fun interface CrashAction {
    /** Ends the process, or simulates its end. */
    public fun crash()
}
