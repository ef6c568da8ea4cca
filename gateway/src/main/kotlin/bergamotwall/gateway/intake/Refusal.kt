package bergamotwall.gateway.intake

/**
 * Why a connection is refused or closed. The status goes to the client if its request has not run and no response has
 * begun; null if there is nothing to say.
 */
internal enum class Refusal(
    val status: String?,
    val detail: String,
) {
    MALFORMED("400 Bad Request", "the head is malformed"),
    HEAD_TOO_LARGE("431 Request Header Fields Too Large", "the head is too large"),
    HEAD_TOO_SLOW("408 Request Timeout", "the head did not end in time"),
    BODY_TOO_LARGE("413 Content Too Large", "the body is too large"),
    BODY_TOO_SLOW("408 Request Timeout", "the body did not arrive in time"),
    MEMORY("503 Service Unavailable", "too many requests hold memory"),
    EMPTY_LINES(null, "empty lines without a request"),
    OTHER_PROTOCOL(null, "not HTTP/1.1"),
    UNREAD(null, "the response is not read"),
    CONNECTIONS(null, "too many connections"),
}
