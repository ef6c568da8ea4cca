package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Hands a submission over; answered by [Done] once it is durable, [NotOwner] if it is not taken and never will be, or
 * [PeerRefusal] if that is not known.
 */
@Serializable
@SerialName("bs")
public data class SubmitBatch(val record: BatchRecord) : PeerMessage

/** Asks the owner of [batch] for its results from position [after] on; answered by [BatchPage] or [NotOwner]. */
@Serializable
@SerialName("br")
public data class ReadBatch(val batch: BatchId, val after: Int, val waitMillis: Long) : PeerMessage

/** Results of a batch of [total] items from the position asked for on. */
@Serializable
@SerialName("bp")
public data class BatchPage(val total: Int, val results: List<ItemResult>) : PeerMessage

/** Asks the owner of [batch] for the body of [item]; answered by [ItemBody] or [NotOwner]. */
@Serializable
@SerialName("bi")
public data class FetchItem(val batch: BatchId, val item: ItemId) : PeerMessage

/** Body of an item; [bodyBase64] is null if the batch has no such item. */
@Serializable
@SerialName("bb")
public data class ItemBody(val bodyBase64: String?) : PeerMessage

/** Asks the owner of [batch] to end it; answered by [Done] once that is durable, [NotOwner] or [PeerRefusal]. */
@Serializable
@SerialName("be")
public data class EndBatch(val batch: BatchId) : PeerMessage

/** The receiver does not own the batch, or does not take it. */
@Serializable
@SerialName("bn")
public data object NotOwner : PeerMessage

/** Asks which incarnation of a process answers; answered by [Alive]. */
@Serializable
@SerialName("al")
public data object CheckAlive : PeerMessage

/** The incarnation that runs. */
@Serializable
@SerialName("aa")
public data class Alive(val incarnation: Long) : PeerMessage
