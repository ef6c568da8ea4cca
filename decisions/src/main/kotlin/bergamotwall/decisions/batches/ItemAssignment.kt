package bergamotwall.decisions.batches

import bergamotwall.decisions.placement.CandidateTarget
import bergamotwall.model.TargetId

/**
 * A batch item that waits for a slot, identified by its [ticket].
 *
 * [dueAtMillis] is the time at which its batch is due. [groupOrder] is the position of its group in the batch, in which
 * carried-over groups come first. [eligible] are the targets whose weights its batch allows. [avoid] is the target that
 * failed the item last, [groupTarget] the one where other items of its group ran. [priority] orders items of batches
 * that are due at the same time.
 */
public data class WaitingItem(
    val ticket: Int,
    val dueAtMillis: Long,
    val groupOrder: Int,
    val expectedTokens: Long,
    val eligible: Set<TargetId>,
    val avoid: TargetId? = null,
    val groupTarget: TargetId? = null,
    val priority: ItemPriority = ItemPriority.NONE,
)

/** Assigns the item with [ticket] to [target]. */
public data class ItemAssignment(val ticket: Int, val target: TargetId)

/**
 * Assigns waiting items to free slots.
 *
 * Made for more items than slots, and for training steps that benefit from complete groups only: batches that are due
 * earlier go first, of those due at the same time the ones of higher priority, within a batch the groups in order, and
 * within a group the item with the most expected tokens, as its end decides when the group is complete. An item goes to
 * the target that has its group's prompt cached if a slot is free there, otherwise to the target with the smallest
 * share of its slots in use.
 *
 * If any target reports its slowdown, an item goes to the free slot where it is expected to end first instead, so that
 * a step does not wait for items at the slowest VMs; the cached prompt then decides only between targets that are about
 * equally fast at the moment.
 */
public fun assignItems(
    waiting: List<WaitingItem>,
    candidates: List<CandidateTarget>,
): List<ItemAssignment> {
    val free = candidates.filter { it.available }.associateTo(HashMap()) { it.id to it.free }
    val slots = candidates.associate { it.id to maxOf(1, it.slots) }
    val ends = if (candidates.any { it.slowdown != null }) ItemEnds(candidates) else null
    val groupTargets = HashMap<Pair<Long, Int>, TargetId>()
    val assigned = ArrayList<ItemAssignment>()
    for (item in waiting.sortedWith(ITEM_ORDER)) {
        val withFreeSlot = item.eligible.filter { (free[it] ?: 0) > 0 }
        val pool = withFreeSlot.filter { it != item.avoid }.ifEmpty { withFreeSlot }
        val group = item.dueAtMillis to item.groupOrder
        val preferred = groupTargets[group] ?: item.groupTarget
        val target =
            if (ends != null) {
                ends.choose(pool, preferred, item.expectedTokens, free)
            } else {
                preferred?.takeIf { it in pool }
                    ?: pool.minByOrNull { -(free.getValue(it).toDouble() / slots.getValue(it)) }
            }
        if (target != null) {
            groupTargets[group] = target
            free[target] = free.getValue(target) - 1
            assigned += ItemAssignment(item.ticket, target)
        }
    }
    return assigned
}

private val ITEM_ORDER =
    compareBy<WaitingItem> { it.dueAtMillis }
        .thenBy { it.priority }
        .thenBy { it.groupOrder }
        .thenByDescending { it.expectedTokens }
