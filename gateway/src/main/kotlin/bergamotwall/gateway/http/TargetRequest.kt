package bergamotwall.gateway.http

/**
 * A request as sent to a target. [identity] is a header that the target echoes in its response: a response with another
 * value belongs to an earlier request and is skipped. No connection carries two requests with the same identity, and
 * one without an identity is the first on its connection. [repeatable]: the request may run more than once. The sender
 * gives up if nothing arrives for [maxSilenceMillis]; null if it may wait for ever. [respondedInOrder]: the receiver
 * sends one response to each request, as our own processes do.
 */
public data class TargetRequest(
    public val method: String,
    public val path: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val identity: Header? = null,
    public val repeatable: Boolean = false,
    public val maxSilenceMillis: Long? = null,
    public val respondedInOrder: Boolean = false,
) {
    /** Whether the response has no body, whatever its headers say. */
    internal val bodiless: Boolean get() = method == "HEAD"
}
