package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Transfers a submission to the process that is to own the batch. The response is [Done] once the batch is durable,
 * [NotOwner] if the receiver did not and will not accept it, or [PeerRefusal] if it is unknown whether it was accepted.
 */
@Serializable
@SerialName("bs")
public data class SubmitBatch(val record: BatchRecord) : PeerMessage

/**
 * Requests the results of [batch] from position [after] on from its owner, which waits up to [waitMillis] for the first
 * one; the response is [BatchPage] or [NotOwner].
 */
@Serializable
@SerialName("br")
public data class ReadBatch(val batch: BatchId, val after: Int, val waitMillis: Long) : PeerMessage

/** Results of a batch of [total] items, from the requested position on. */
@Serializable
@SerialName("bp")
public data class BatchPage(val total: Int, val results: List<ItemResult>) : PeerMessage

/** Requests the body of [item] from the owner of [batch]; the response is [ItemBody] or [NotOwner]. */
@Serializable
@SerialName("bi")
public data class FetchItem(val batch: BatchId, val item: ItemId) : PeerMessage

/** Body of an item; [bodyBase64] is null if the batch has no such item. */
@Serializable
@SerialName("bb")
public data class ItemBody(val bodyBase64: String?) : PeerMessage

/** Tells the owner of [batch] to end it; the response is [Done] once that is durable, [NotOwner] or [PeerRefusal]. */
@Serializable
@SerialName("be")
public data class EndBatch(val batch: BatchId) : PeerMessage

/** The receiver does not own the batch, or does not accept it. */
@Serializable
@SerialName("bn")
public data object NotOwner : PeerMessage

/** Requests the incarnation of the receiving process; the response is [Alive]. */
@Serializable
@SerialName("al")
public data object CheckAlive : PeerMessage

/** The running incarnation of the process. */
@Serializable
@SerialName("aa")
public data class Alive(val incarnation: Long) : PeerMessage
