package bergamotwall.gateway.batches

import bergamotwall.model.Done
import bergamotwall.model.EndBatch
import bergamotwall.model.FetchItem
import bergamotwall.model.ItemBody
import bergamotwall.model.NotOwner
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.ReadBatch
import bergamotwall.model.SubmitBatch

/** Answers other processes about the batches that this one owns. Confined to the batch loop. */
internal class BatchAnswers(
    private val owner: BatchOwner,
    private val acceptance: Acceptance,
    private val pageChars: Int,
) {
    /** Answer to [message], or null if it is not about batches. */
    suspend fun answer(message: PeerMessage): PeerMessage? =
        when (message) {
            is SubmitBatch -> acceptance.answer(message.record)
            is ReadBatch ->
                owner.find(message.batch)?.let { it.page(message.after, message.waitMillis, pageChars) } ?: NotOwner
            is FetchItem -> owner.find(message.batch)?.let { ItemBody(it.body(message.item)) } ?: NotOwner
            is EndBatch -> owner.find(message.batch)?.let { ended(owner.end(it)) } ?: NotOwner
            else -> null
        }

    private fun ended(outcome: EndOutcome): PeerMessage =
        if (outcome is EndOutcome.Ended) Done else PeerRefusal(Problem(ProblemKind.UNAVAILABLE, "not durable yet"))
}
