package bergamotwall.gateway.batches

import bergamotwall.decisions.batches.WaitingItem
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.workspaces.Workspaces
import org.tinylog.Logger

/** An item of an owned [batch], as placement sees it. */
internal data class DispatchableItem(val batch: OwnedBatch, val item: ItemState) {
    fun waitingItem(
        ticket: Int,
        targets: Collection<Target>,
        workspaces: Workspaces,
    ): WaitingItem {
        val group = item.spec.group
        return WaitingItem(
            ticket = ticket,
            dueAtMillis = batch.dueAtMillis,
            groupOrder = batch.groupOrder.getValue(group),
            expectedTokens = item.spec.tokens,
            eligible = targets.filter { allows(it) }.mapTo(HashSet()) { it.id },
            avoid = item.lastFailedTarget,
            groupTarget = batch.groupTargets[group],
            priority = priorityOf(workspaces, batch.record, batch.route),
        )
    }

    /**
     * Discards the text received if none of the [usable] targets may continue it, or none of the [available] ones
     * has for [CONTINUE_WAIT_MILLIS], but one of these may start it.
     */
    fun startOverUnlessContinuable(
        usable: Collection<Target>,
        available: Collection<Target>,
        nowMillis: Long,
    ) {
        if (!item.hasText || available.any { allows(it) } || available.none { allowsWeights(it) }) return
        val waitUntilMillis = item.endedAtMillis + CONTINUE_WAIT_MILLIS
        if (nowMillis < waitUntilMillis && usable.any { allows(it) }) return
        Logger.info(
            "event=item_starts_over id={} events={} software={} cause=\"no target of its software version\"",
            item.spec.id.value,
            item.eventCount,
            item.softwareVersion?.value,
        )
        item.discardText()
    }

    /** Whether a run at [target] may continue the item, and nothing generated so far is lost. */
    fun continues(target: Target): Boolean {
        val version = batch.record.model?.let { target.versions[it] }
        return allows(target) && (version == null || batch.allowsVersion(item, version))
    }

    private fun allows(target: Target): Boolean = item.continuesAt(target) && allowsWeights(target)

    private fun allowsWeights(target: Target): Boolean = allowsWeights(batch.record, batch.route, target)

    private companion object {
        /** Longest wait for a target that is backing off, after which generating the text again is faster. */
        private const val CONTINUE_WAIT_MILLIS = 1_000L
    }
}
