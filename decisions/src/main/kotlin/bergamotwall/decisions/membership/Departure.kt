package bergamotwall.decisions.membership

/**
 * The departure of the target's incarnation that started at [startedAtMillis], null if unknown, and of earlier ones.
 * [unregisteredAtMillis] is when the target was found to be no longer registered; null while it is.
 */
public data class Departure(public val startedAtMillis: Long?, public val unregisteredAtMillis: Long? = null) {
    /** Whether the incarnation that started at [otherStartedAtMillis] is leaving, too. */
    public fun includes(otherStartedAtMillis: Long?): Boolean =
        startedAtMillis == otherStartedAtMillis ||
            (startedAtMillis != null && otherStartedAtMillis != null && otherStartedAtMillis < startedAtMillis)
}
