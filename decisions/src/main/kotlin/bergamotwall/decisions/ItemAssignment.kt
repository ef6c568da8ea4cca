package bergamotwall.decisions

import bergamotwall.model.TargetId

/**
 * An item that waits for a slot, named by its [ticket]. [dueAtMillis] is when its batch is due; [groupOrder] the place
 * of its group in the batch, carried-over groups first; [groupTarget] where others of its group ran; [eligible]
 * the targets whose weights its batch allows.
 */
public data class WaitingItem(
    val ticket: Int,
    val dueAtMillis: Long,
    val groupOrder: Int,
    val expectedTokens: Long,
    val eligible: Set<TargetId>,
    val avoid: TargetId? = null,
    val groupTarget: TargetId? = null,
)

/** The item with [ticket] is to be sent to [target]. */
public data class ItemAssignment(val ticket: Int, val target: TargetId)

/**
 * Gives free slots to waiting items.
 *
 * Answers the pattern of more items than slots in steps that earn by whole groups: earlier batches go first, within a
 * batch groups in order, and within a group the longest expected item, whose end decides when the group is whole. An
 * item goes where its group's prompt is cached if a slot is free there, else to the target with the smallest share of
 * its slots in use.
 */
public fun assignItems(
    waiting: List<WaitingItem>,
    candidates: List<CandidateTarget>,
): List<ItemAssignment> {
    val free = candidates.filter { it.open }.associateTo(HashMap()) { it.id to it.free }
    val slots = candidates.associate { it.id to maxOf(1, it.slots) }
    val groupTargets = HashMap<Pair<Long, Int>, TargetId>()
    val assigned = ArrayList<ItemAssignment>()
    for (item in waiting.sortedWith(ITEM_ORDER)) {
        val open = item.eligible.filter { (free[it] ?: 0) > 0 }
        val pool = open.filter { it != item.avoid }.ifEmpty { open }
        val group = item.dueAtMillis to item.groupOrder
        val preferred = groupTargets[group] ?: item.groupTarget
        val target = preferred?.takeIf {
            it in pool
        } ?: pool.minByOrNull { -(free.getValue(it).toDouble() / slots.getValue(it)) }
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
        .thenBy { it.groupOrder }
        .thenByDescending { it.expectedTokens }
