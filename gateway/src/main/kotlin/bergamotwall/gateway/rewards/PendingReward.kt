package bergamotwall.gateway.rewards

import bergamotwall.gateway.batches.ItemState
import bergamotwall.gateway.batches.OwnedBatch
import bergamotwall.runtime.Decision

/** An item that awaits its score, with its batch. */
internal data class PendingReward(val batch: OwnedBatch, val item: ItemState, val reward: RewardState) {
    /** The journal's record of a [decision] on the reward call because of [cause]. */
    fun decision(
        decision: String,
        cause: String,
    ): Decision =
        Decision(
            subject = "item/${item.spec.id.value}",
            decision = "reward call ${reward.call.id.value} $decision",
            rule = "a text is listed with its score",
            cause = cause,
            inputs =
            "batch ${batch.record.id.value}, failed runs ${reward.failedRuns}, failures ${reward.failures}",
        )
}
