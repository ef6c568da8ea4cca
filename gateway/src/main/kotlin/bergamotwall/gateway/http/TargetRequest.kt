package bergamotwall.gateway.http

/**
 * A request as it goes to a target. [identity] is a header that the target echoes; an answer that echoes another value
 * belongs to an earlier request and is skipped.
 */
public class TargetRequest(
    public val method: String,
    public val path: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val identity: Header? = null,
)
