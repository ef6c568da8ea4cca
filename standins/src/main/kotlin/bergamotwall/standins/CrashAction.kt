package bergamotwall.standins

/** What happens when a request crashes the engine. */
public fun interface CrashAction {
    /** Ends the process, or what stands for it. */
    public fun crash()
}
