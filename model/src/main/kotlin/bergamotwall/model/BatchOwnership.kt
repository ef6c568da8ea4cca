package bergamotwall.model

import kotlinx.serialization.Serializable

/**
 * Who runs a batch: the process [owner] in its [incarnation]. Changed by compare-and-swap only; its revision fences
 * what the owner appends. [nonce] names the attempt that created it, whose items count; they have [parts] parts.
 * [route] decides which process takes the batch over.
 */
@Serializable
public data class BatchOwnership(
    val owner: NodeId,
    val incarnation: Long,
    val nonce: String,
    val parts: Int,
    val total: Int,
    val acceptedAtMillis: Long,
    val route: String,
    val ended: Boolean = false,
)
