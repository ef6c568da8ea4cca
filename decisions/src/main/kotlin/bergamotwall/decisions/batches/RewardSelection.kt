package bergamotwall.decisions.batches

/**
 * Selects the reward calls to be sent to the targets in [pool] now; returns their tickets, most urgent first.
 *
 * Load pattern: the items of a training step end close together, so that their reward calls come in a wave, at a small
 * service that also answers callers, who wait for each response. Sent at once, the wave fills the slots and the queues
 * of all targets. So calls fill only a share of the slots, and the others wait here, where they can be ordered: batches
 * that are due earlier go first, then the groups whose texts are all complete, as nothing else is missing to complete
 * them, and then the groups in the order of the batch.
 */
public fun selectRewardCalls(
    waiting: List<WaitingReward>,
    pool: RewardPool,
): List<Int> = waiting.sortedWith(REWARD_ORDER).take(pool.admitted).map { it.ticket }

private val REWARD_ORDER =
    compareBy<WaitingReward>({ it.dueAtMillis }, { it.ungeneratedInGroup }, { it.groupOrder }, { it.ticket })
