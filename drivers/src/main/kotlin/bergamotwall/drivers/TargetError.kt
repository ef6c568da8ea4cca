package bergamotwall.drivers

/** Why a call to a target, or to the platform's VM list, failed. */
public sealed interface TargetError {
    /** Description for logs and problem responses. */
    public val detail: String

    /** The request certainly did not run: it was never sent, or the target reported so. */
    public data class NotStarted(override val detail: String) : TargetError

    /** The connection failed or the response was malformed; the request may have run. */
    public data class Broken(override val detail: String) : TargetError

    /** The target refused the content with [status]; a retry would be refused too. */
    public data class Rejected(val status: Int, override val detail: String) : TargetError
}
