package bergamotwall.decisions.responses

/** To which request a response on a connection belongs. */
public enum class ResponseOwner {
    /** The request that waits for a response. */
    CURRENT,

    /** Another request; the response that is due follows. */
    OTHER,

    /** A response to the current request can't be told from one to an earlier request. */
    UNKNOWN,
}
