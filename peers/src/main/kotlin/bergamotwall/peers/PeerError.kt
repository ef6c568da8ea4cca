package bergamotwall.peers

/** Why a peer did not answer. */
public sealed interface PeerError {
    /** What happened, for logs. */
    public val detail: String

    /** No connection could be made. */
    public data class Unreachable(override val detail: String) : PeerError

    /** The connection broke, or time ran out, after the message was handed over. */
    public data class NoAnswer(override val detail: String) : PeerError
}
