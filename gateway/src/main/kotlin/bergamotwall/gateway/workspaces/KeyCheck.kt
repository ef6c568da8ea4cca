package bergamotwall.gateway.workspaces

/** Checks immediately before a send whether the key of the request may still be accepted. */
public fun interface KeyCheck {
    /** Why the request must not be sent, or null if it may be. */
    public fun refusal(): String?

    public companion object {
        /** Accepts every request. */
        public val NONE: KeyCheck = KeyCheck { null }
    }
}
