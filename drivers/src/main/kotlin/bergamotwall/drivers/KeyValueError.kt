package bergamotwall.drivers

/** Why a call to the key-value service failed. */
public sealed interface KeyValueError {
    /** What happened, for logs and problems. */
    public val detail: String

    /** No answer came. If [mayHaveApplied], a write may have taken effect. */
    public data class Unavailable(override val detail: String, val mayHaveApplied: Boolean) : KeyValueError

    /** The service refused the call. */
    public data class Rejected(override val detail: String) : KeyValueError

    /** The lease has lapsed. */
    public data class LeaseGone(override val detail: String) : KeyValueError

    /** The changes asked for are no longer kept. */
    public data class HistoryGone(override val detail: String) : KeyValueError
}
