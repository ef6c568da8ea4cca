package bergamotwall.gateway.http

/**
 * A request as sent to a target. [identity] is a header that the target echoes in its response: a response with another
 * value belongs to an earlier request and is skipped. [repeatable]: the request may run more than once. The sender
 * gives up if nothing arrives for [maxSilenceMillis]; null if it may wait for ever.
 */
public data class TargetRequest(
    public val method: String,
    public val path: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val identity: Header? = null,
    public val repeatable: Boolean = false,
    public val maxSilenceMillis: Long? = null,
)
