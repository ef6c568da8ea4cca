package bergamotwall.gateway.batches

import bergamotwall.model.ItemResult

/** How far an item of an owned batch has come. */
internal sealed interface ItemPhase {
    /** Its text is being generated, or waits for that. */
    data object Generating : ItemPhase

    /** Its [text] is complete and must be scored, but is not stored durably yet; its reward call may not be sent. */
    data class Generated(val text: ItemResult) : ItemPhase

    /** Its [text] is stored durably. Whoever owns the batch only repeats the reward call. */
    data class AwaitingScore(val text: ItemResult) : ItemPhase

    /** Its result is known: completed, with its score if it has a reward call, or errored. */
    data object Done : ItemPhase
}
