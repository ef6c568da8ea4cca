package bergamotwall.gateway.batches

import bergamotwall.decisions.admission.backoffMillis
import bergamotwall.decisions.batches.ItemAssignment
import bergamotwall.decisions.batches.ItemPriority
import bergamotwall.decisions.batches.WaitingItem
import bergamotwall.decisions.batches.assignItems
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.targets.SendPurpose
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.workspaces.Workspaces
import bergamotwall.model.BatchRecord
import bergamotwall.model.TargetId
import bergamotwall.runtime.Decision
import bergamotwall.runtime.launchSupervised
import bergamotwall.runtime.recovering
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Sends the items of all owned batches to targets as slots become free. [onItemEnded] is called with the batch of each
 * item whose text is complete or that failed. Confined to the batch loop.
 */
internal class ItemDispatcher(
    private val scope: CoroutineScope,
    private val dependencies: TargetDependencies,
    private val runner: ItemRunner,
    private val mover: ItemMover,
    private val onItemEnded: (OwnedBatch) -> Unit,
) {
    private val batches = ArrayList<OwnedBatch>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    init {
        scope.launchSupervised("items") {
            while (true) {
                dispatchWaitingItems()
                mover.step(batches)
                if (batches.isEmpty()) wake.receive() else withTimeoutOrNull(RECHECK_PERIOD_MILLIS) { wake.receive() }
            }
        }
    }

    fun add(batch: OwnedBatch) {
        batches += batch
        wake()
    }

    fun remove(batch: OwnedBatch) {
        batches -= batch
        batch.cancelRuns()
    }

    /** Triggers a dispatch, for example because a slot became free or the targets or their versions changed. */
    fun wake() {
        wake.trySend(Unit)
    }

    private fun dispatchWaitingItems() {
        val nowMillis = dependencies.clock.monotonicMillis()
        val items = batches.filter { it.maySend }.flatMap { batch -> dispatchableItems(batch, nowMillis) }
        if (items.isEmpty()) return
        val targets = dependencies.gatewayState.targets.read()
        val services = items.flatMap { it.batch.route.shares }.map { it.service }.distinct()
        val usable = services.flatMap { targets.usable(it) }.associateBy { it.id }
        val candidates = dependencies.candidates(usable.values, SendPurpose.ITEM)
        val available = candidates.filter { it.available }.mapNotNull { usable[it.id] }
        items.forEach { it.startOverUnlessContinuable(usable.values, available, nowMillis) }
        val workspaces = dependencies.gatewayState.routes.read().workspaces
        val waiting = items.mapIndexed { ticket, item -> item.waitingItem(ticket, usable.values, workspaces) }
        waiting.forEach { items[it.ticket].batch.placement.eligibleTargets = it.eligible.size }
        items.forEach { it.batch.placement.usableTargets = usable.size }
        assignItems(waiting, candidates).forEach { assignment -> launch(items[assignment.ticket], assignment, usable) }
    }

    /**
     * Where the items of [record], a batch that is not submitted yet, would be sent now if this process ran it on
     * [route]. Sends nothing and changes no state.
     */
    fun peek(
        record: BatchRecord,
        route: Route,
    ): ItemsPeek {
        val nowMillis = dependencies.clock.monotonicMillis()
        val waitingItems = batches.filter { it.maySend }.flatMap { batch -> dispatchableItems(batch, nowMillis) }
        val targets = dependencies.gatewayState.targets.read()
        val shares = waitingItems.flatMap { it.batch.route.shares } + route.shares
        val views =
            shares.map { it.service }.distinct().flatMap { service ->
                targets.usable(service).map { dependencies.view(it, SendPurpose.ITEM) }
            }
        val usable = views.map { it.target }
        val workspaces = dependencies.gatewayState.routes.read().workspaces
        val before = waitingItems.mapIndexed { ticket, item -> item.waitingItem(ticket, usable, workspaces) }
        val eligible = usable.filter { allowsWeights(record, route, it) }.mapTo(HashSet()) { it.id }
        val groups = record.items.map { it.group }.distinct()
        val peeked =
            record.items.mapIndexed { index, item ->
                WaitingItem(
                    ticket = before.size + index,
                    dueAtMillis = nowMillis + (route.batch?.runTargetMillis ?: 0),
                    groupOrder = groups.indexOf(item.group),
                    expectedTokens = item.tokens,
                    eligible = eligible,
                    priority = priorityOf(workspaces, record, route),
                )
            }
        val assigned =
            assignItems(before + peeked, views.map { it.candidate })
                .filter { it.ticket >= before.size }
                .associate { record.items[it.ticket - before.size].id to it.target }
        val services = route.shares.map { it.service }
        return ItemsPeek(assigned, eligible, views.filter { it.target.service in services }, before.size)
    }

    private fun launch(
        dispatched: DispatchableItem,
        assignment: ItemAssignment,
        usable: Map<TargetId, Target>,
    ) {
        val target = usable.getValue(assignment.target)
        val nowMillis = dependencies.clock.monotonicMillis()
        val waitedMillis = nowMillis - maxOf(dispatched.batch.acceptedAtMillis, dispatched.item.notBeforeMillis)
        dispatched.batch.placement.sentAfter(waitedMillis)
        dependencies.metrics.itemWaited(dispatched.batch.route.name, waitedMillis)
        dependencies.limits.charge(target, SendPurpose.ITEM, nowMillis)
        dispatched.item.sentAtMillis = nowMillis
        dispatched.item.resumedAfter = dispatched.item.lastEventId
        dispatched.item.running = true
        dispatched.item.target = target.id
        dispatched.item.attempts++
        dispatched.batch.groupTargets[dispatched.item.spec.group] = target.id
        scope.launch {
            val outcome =
                recovering("item", { ItemOutcome.Broken("unexpected: $it") }) {
                    runner.run(dispatched.batch, dispatched.item, target)
                }
            dispatched.item.running = false
            dispatched.item.target = null
            dispatched.item.moving = false
            dispatched.item.endedAtMillis = dependencies.clock.monotonicMillis()
            handleOutcome(dispatched, target, outcome)
            wake()
        }
    }

    private fun handleOutcome(
        dispatched: DispatchableItem,
        target: Target,
        outcome: ItemOutcome,
    ) {
        val (batch, item) = dispatched
        recordAttempt(dispatched, target, outcome)
        if (!batch.active) return
        when (outcome) {
            ItemOutcome.Whole -> batch.generated(item)
            ItemOutcome.Impossible -> batch.fail(item)
            ItemOutcome.ErrorAnswer -> {
                item.errorResponses++
                item.discardText()
                if (item.errorResponses >= batch.route.maxAttempts) batch.fail(item) else retryLater(item, target)
            }
            is ItemOutcome.NotRun -> retryLater(item, target, outcome.full)
            is ItemOutcome.Broken -> retryLater(item, target)
            ItemOutcome.Moved -> item.lastFailedTarget = target.id
            is ItemOutcome.Unfit -> {
                // The version of the received text may never be loaded at any target again, so the item starts over.
                if (outcome.version >= batch.record.minVersion) item.discardText()
                retryLater(item, target)
            }
            ItemOutcome.Cancelled -> Unit
        }
        if (item.phase != ItemPhase.Generating) onItemEnded(batch)
    }

    private fun retryLater(
        item: ItemState,
        target: Target,
        full: Boolean = false,
    ) {
        item.lastFailedTarget = target.id
        val pauseMillis = if (full) FULL_TARGET_BACKOFF_MILLIS else backoffMillis(++item.failures, dependencies.random)
        item.notBeforeMillis = dependencies.clock.monotonicMillis() + pauseMillis
        scope.launch {
            delay(pauseMillis)
            wake()
        }
    }

    private fun dispatchableItems(
        batch: OwnedBatch,
        nowMillis: Long,
    ): List<DispatchableItem> =
        batch.items.values
            .filter { it.phase == ItemPhase.Generating && !it.running && it.notBeforeMillis <= nowMillis }
            .map { DispatchableItem(batch, it) }

    private fun recordAttempt(
        dispatched: DispatchableItem,
        target: Target,
        outcome: ItemOutcome,
    ) {
        val item = dispatched.item
        dependencies.metrics.attempted(outcome.javaClass.simpleName)
        dependencies.journal.record(
            Decision(
                subject = "item/${item.spec.id.value}",
                decision = "attempt ${item.attempts} ended: $outcome",
                rule = "one attempt at one target",
                cause = "batch ${dispatched.batch.record.id.value}",
                inputs =
                "target ${target.id.value}, software ${target.softwareVersion?.value}, resumed after " +
                    "${item.resumedAfter}, events received ${item.eventCount}, versions ${item.versions()}, " +
                    "took ${dependencies.clock.monotonicMillis() - item.sentAtMillis} ms",
            ),
        )
    }

    private companion object {
        /** Longest delay until a change that triggers no dispatch is noticed, such as the end of a target's backoff. */
        private const val RECHECK_PERIOD_MILLIS = 250L

        /**
         * Short, so that an item that a full target refused soon goes to another one. If all targets are full, the item
         * waits until one of them may be probed.
         */
        private const val FULL_TARGET_BACKOFF_MILLIS = 50L
    }
}

/** Whether the items of [record], submitted on [route], may start at [target]. */
internal fun allowsWeights(
    record: BatchRecord,
    route: Route,
    target: Target,
): Boolean {
    val model = record.model
    val versionAllowed = model == null || target.versions[model]?.let { it >= record.minVersion } == true
    return versionAllowed && route.shares.any { it.service == target.service }
}

/** Priority of the items of [record], submitted on [route]. */
internal fun priorityOf(
    workspaces: Workspaces,
    record: BatchRecord,
    route: Route,
): ItemPriority =
    if (workspaces.active) {
        ItemPriority(workspaces.priorityOf(record.workspace), route.priority)
    } else {
        ItemPriority.NONE
    }
