package bergamotwall.gateway.http

private val HOP_BY_HOP =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "proxy-authenticate",
        "proxy-authorization",
    )

/** Whether the header field [name] applies to a single connection and must not be forwarded. */
public fun isHopByHop(name: String): Boolean = name.lowercase() in HOP_BY_HOP
