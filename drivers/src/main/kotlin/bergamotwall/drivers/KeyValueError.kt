package bergamotwall.drivers

/** Why a call to the key-value service failed. */
public sealed interface KeyValueError {
    /** Description for logs and problem responses. */
    public val detail: String

    /** No usable response. If [mayHaveApplied], a write may have taken effect. */
    public data class Unavailable(override val detail: String, val mayHaveApplied: Boolean) : KeyValueError

    /** The service refused the call. */
    public data class Rejected(override val detail: String) : KeyValueError

    /** The lease has expired or was revoked. */
    public data class LeaseExpired(override val detail: String) : KeyValueError

    /** The service has compacted the requested changes. */
    public data class HistoryCompacted(override val detail: String) : KeyValueError
}
