package bergamotwall.gateway.http

/** How far a response has been read. */
internal enum class ReadProgress {
    INCOMPLETE,
    COMPLETE,

    /** The response may belong to another request. */
    IN_DOUBT,
}
