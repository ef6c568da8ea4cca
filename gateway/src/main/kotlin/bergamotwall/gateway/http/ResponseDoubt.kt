package bergamotwall.gateway.http

/**
 * Why bytes that a target sent may not be the response to the request that waits for one. Unless it is [OTHER_ID], they
 * end the exchange and its connection.
 */
public enum class ResponseDoubt {
    /** The response names another request; it is skipped. */
    OTHER_ID,

    /** The response names no request, and other requests were sent on the connection before. */
    NO_ID,

    /** The response names several requests. */
    SEVERAL_IDS,

    /** The head of the response contains the beginning of another one. */
    JOINED_HEADS,

    /** The body of the response contains the beginning of another one. */
    JOINED_BODY,

    /** The response is malformed, so that its status, its fields or its body may not be those that the target meant. */
    MALFORMED,

    /** Bytes were received after a complete response, while no request was waiting. */
    LEFTOVER_BYTES,
}
