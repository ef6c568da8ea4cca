package bergamotwall.model

import kotlinx.serialization.Serializable

/** A decision that [node] made about [subject], by which [rule], for which [cause] and on which [inputs]. */
@Serializable
public data class JournalEvent(
    val atMillis: Long,
    val node: NodeId,
    val subject: String,
    val decision: String,
    val rule: String,
    val cause: String,
    val inputs: String,
)
