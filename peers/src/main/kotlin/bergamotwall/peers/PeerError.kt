package bergamotwall.peers

/** Why a peer sent no response. */
public sealed interface PeerError {
    /** What happened, for logs. */
    public val detail: String

    /** No connection could be made. */
    public data class Unreachable(override val detail: String) : PeerError

    /** The connection failed or the request timed out after the message was sent; the peer may have handled it. */
    public data class NoResponse(override val detail: String) : PeerError
}
