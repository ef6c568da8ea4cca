package bergamotwall.runtime

/** Entry for [Journal.record]: the decision about a subject, the rule and cause that led to it, and its inputs. */
public data class Decision(
    val subject: String,
    val decision: String,
    val rule: String,
    val cause: String = "",
    val inputs: String = "",
)
