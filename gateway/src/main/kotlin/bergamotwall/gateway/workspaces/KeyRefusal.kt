package bergamotwall.gateway.workspaces

/**
 * Why a request was refused because of its key; [detail] is for the caller. [retryable]: the key may be accepted
 * later.
 */
public enum class KeyRefusal(public val detail: String, public val retryable: Boolean = false) {
    MISSING("the header Authorization is missing"),
    MALFORMED("the header Authorization is not of the form \"Bearer KEY\", or there are several"),
    UNKNOWN("the key is not known"),

    /** A newer configuration may contain the key. */
    NOT_KNOWN_YET("the key is not known, but the configuration may be outdated", retryable = true),

    /** A newer configuration may have removed the key. */
    UNPROVEN("the configuration that contains the key may be outdated", retryable = true),

    /** The batch belongs to another workspace. */
    FOREIGN_BATCH("no such batch"),
    ;

    /** Status of the response to the caller. */
    public val status: Int
        get() =
            when {
                retryable -> UNAVAILABLE
                this == FOREIGN_BATCH -> NOT_FOUND
                else -> UNAUTHORIZED
            }

    private companion object {
        private const val UNAUTHORIZED = 401
        private const val NOT_FOUND = 404
        private const val UNAVAILABLE = 503
    }
}
