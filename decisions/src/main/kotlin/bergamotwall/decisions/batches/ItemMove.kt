package bergamotwall.decisions.batches

import bergamotwall.model.TargetId

/** Ends the run of the item with [ticket] and continues it at [target], which saves about [savedMillis]. */
public data class ItemMove(
    val ticket: Int,
    val target: TargetId,
    val savedMillis: Long,
)
