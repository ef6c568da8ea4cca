package bergamotwall.drivers

/** Why a call to a target, or to a plain platform service, failed. */
public sealed interface TargetError {
    /** What happened, for logs and problems. */
    public val detail: String

    /** Provably not started: no byte was sent, or the target said so. */
    public data class NotStarted(override val detail: String) : TargetError

    /** The connection broke or the answer was malformed; it may have run. */
    public data class Broken(override val detail: String) : TargetError

    /** The target refused the content with [status]; asking again helps nothing. */
    public data class Rejected(val status: Int, override val detail: String) : TargetError
}
