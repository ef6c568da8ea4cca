package bergamotwall.model

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable

/**
 * Ownership of a batch by the process [owner] in its [incarnation]. Changed by compare-and-swap only; its revision
 * fences the results that the owner appends. [nonce] identifies the submission attempt that created the batch: only the
 * items stored by that attempt are valid; they are stored in [parts] item chunks. [route] determines which process
 * adopts the batch if the owner fails. [workspace] submitted the batch; null if it was submitted without a key.
 */
@OptIn(ExperimentalSerializationApi::class)
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
    @EncodeDefault(EncodeDefault.Mode.NEVER) val workspace: WorkspaceName? = null,
) {
    /** Whether the owner is the same process, in the same incarnation, as in [other]. */
    public fun hasOwnerOf(other: BatchOwnership): Boolean = owner == other.owner && incarnation == other.incarnation
}
