package bergamotwall.decisions.batches

import bergamotwall.model.TargetId

/**
 * A run of a batch item, identified by its [ticket], at [target]. [received] is the number of events of the item that
 * have been received. [eligible] are the targets that may continue it, and [moves] is how often it was moved before.
 */
public data class ItemRun(
    val ticket: Int,
    val target: TargetId,
    val received: Int,
    val eligible: Set<TargetId>,
    val moves: Int = 0,
)
