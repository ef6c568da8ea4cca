package bergamotwall.gateway.batches

import bergamotwall.model.Done
import bergamotwall.model.EndBatch
import bergamotwall.model.FetchItem
import bergamotwall.model.ItemBody
import bergamotwall.model.ItemId
import bergamotwall.model.NotOwner
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.ReadBatch
import bergamotwall.model.SubmitBatch
import com.github.michaelbull.result.fold
import java.util.Base64

/**
 * Handles requests of other processes to accept a batch or to access one that this process owns. Confined to the batch
 * loop.
 */
internal class BatchPeerHandler(
    private val ownedBatches: OwnedBatches,
    private val submissionRouter: SubmissionRouter,
) {
    /** Returns the response to [message], or null if the message is not about batches. */
    suspend fun handle(message: PeerMessage): PeerMessage? =
        when (message) {
            is SubmitBatch -> submissionRouter.acceptFromPeer(message.record)
            is ReadBatch ->
                ownedBatches
                    .find(message.batch)
                    ?.let { ownedBatches.pages.read(it, message.after, message.waitMillis) }
                    ?: NotOwner // the caller reads the key-value service instead
            is FetchItem -> ownedBatches.find(message.batch)?.let { itemBody(it, message.item) } ?: NotOwner
            is EndBatch -> ownedBatches.find(message.batch)?.let { endResponse(ownedBatches.end(it)) } ?: NotOwner
            else -> null
        }

    /** The caller reads a body that is too large for a message in the key-value service. */
    private suspend fun itemBody(
        batch: OwnedBatch,
        item: ItemId,
    ): PeerMessage? {
        val bodies = batch.bodies
        return when {
            bodies == null || item !in batch.items -> ItemBody(batch.body(item))
            bodies.byteCount(item) > MAX_BODY_BYTES -> null
            else -> bodies.read(item).fold({ ItemBody(Base64.getEncoder().encodeToString(it)) }, { null })
        }
    }

    private fun endResponse(outcome: EndOutcome): PeerMessage =
        if (outcome is EndOutcome.Ended) Done else PeerRefusal(Problem(ProblemKind.UNAVAILABLE, "not stored yet"))

    private companion object {
        /** In base64 a third more: well below the largest message of 16 MiB. */
        private const val MAX_BODY_BYTES = 4_194_304
    }
}
