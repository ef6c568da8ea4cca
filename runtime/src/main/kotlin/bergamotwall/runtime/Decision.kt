package bergamotwall.runtime

/** What was decided, by which rule, for which cause and seeing what; for [Journal.record]. */
public data class Decision(
    val subject: String,
    val decision: String,
    val rule: String,
    val cause: String = "",
    val inputs: String = "",
)
