package bergamotwall.gateway.crashes

import bergamotwall.model.NodeId
import bergamotwall.model.RequestId
import kotlinx.serialization.Serializable

/**
 * Interruption in the key-value service. [targetStartedAtMillis] is the start of the target's incarnation, null if
 * unknown; the other fields tell operators what was interrupted, and by which process it was seen.
 */
@Serializable
internal data class StoredInterruption(
    val targetStartedAtMillis: Long? = null,
    val request: RequestId,
    val route: String,
    val path: String,
    val seenBy: NodeId,
)
