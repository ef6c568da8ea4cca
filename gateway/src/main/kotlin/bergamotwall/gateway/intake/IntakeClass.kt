package bergamotwall.gateway.intake

/** What memory is held for. */
internal enum class IntakeClass {
    /** Bytes received that the HTTP codec has not seen yet. */
    RECEIVED,

    /** Heads of requests, as the objects that they become. */
    HEADS,
    BODIES,

    /** Bytes of responses that the client has not read. */
    RESPONSES,

    /** Batches while they are decoded and stored. */
    BATCHES,
}
