package bergamotwall.gateway.batches

import bergamotwall.decisions.ItemAssignment
import bergamotwall.decisions.WaitingItem
import bergamotwall.decisions.assignItems
import bergamotwall.decisions.backoffMillis
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetParts
import bergamotwall.model.TargetId
import bergamotwall.runtime.Decision
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Gives the items of all owned batches to targets as slots come free. Confined to the batch loop. */
internal class ItemDispatcher(
    private val scope: CoroutineScope,
    private val parts: TargetParts,
    private val runner: ItemRunner,
    private val onDone: (OwnedBatch) -> Unit,
) {
    private val batches = ArrayList<OwnedBatch>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    init {
        scope.launch {
            while (true) {
                pump()
                if (batches.isEmpty()) wake.receive() else withTimeoutOrNull(PERIOD_MILLIS) { wake.receive() }
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

    /** Something changed: a slot came free, targets or versions changed. */
    fun wake() {
        wake.trySend(Unit)
    }

    private fun pump() {
        val nowMillis = parts.clock.monotonicMillis()
        val work = batches.filter { it.active }.flatMap { batch -> waitingOf(batch, nowMillis) }
        if (work.isEmpty()) return
        val list = parts.board.targets.read()
        val services = work.flatMap { it.batch.route.shares }.map { it.service }.distinct()
        val usable = services.flatMap { list.usable(it) }.associateBy { it.id }
        val waiting = work.mapIndexed { ticket, item -> item.waiting(ticket, usable.values) }
        assignItems(
            waiting,
            parts.candidates(usable.values)
        ).forEach { assignment -> launch(work[assignment.ticket], assignment, usable) }
    }

    private fun launch(
        work: Work,
        assignment: ItemAssignment,
        usable: Map<TargetId, Target>,
    ) {
        val target = usable.getValue(assignment.target)
        work.item.running = true
        work.item.attempts++
        work.batch.groupTargets[work.item.spec.group] = target.id
        scope.launch {
            val outcome = runner.run(work.batch, work.item, target)
            work.item.running = false
            ended(work, target, outcome)
            wake()
        }
    }

    private fun ended(
        work: Work,
        target: Target,
        outcome: ItemOutcome,
    ) {
        val (batch, item) = work
        record(work, target, outcome)
        if (!batch.active) return
        when (outcome) {
            ItemOutcome.Whole -> batch.complete(item, failed = false)
            ItemOutcome.Impossible -> batch.complete(item, failed = true)
            ItemOutcome.ErrorAnswer -> {
                item.errorAnswers++
                item.restart()
                if (item.errorAnswers >= batch.route.maxAttempts) batch.complete(item, failed = true)
                retryLater(item, target)
            }
            is ItemOutcome.NotRun -> retryLater(item, target, outcome.full)
            is ItemOutcome.Broken -> retryLater(item, target)
            is ItemOutcome.Unfit -> {
                // No target may ever have the version of the text held again.
                if (outcome.version >= batch.record.minVersion) item.restart()
                retryLater(item, target)
            }
            ItemOutcome.Cancelled -> Unit
        }
        if (item.done) onDone(batch)
    }

    private fun retryLater(
        item: ItemState,
        target: Target,
        full: Boolean = false,
    ) {
        item.lastFailed = target.id
        val pauseMillis = if (full) FULL_PAUSE_MILLIS else backoffMillis(++item.failures, parts.random)
        item.notBeforeMillis = parts.clock.monotonicMillis() + pauseMillis
        scope.launch {
            delay(pauseMillis)
            wake()
        }
    }

    private fun waitingOf(
        batch: OwnedBatch,
        nowMillis: Long,
    ): List<Work> =
        batch.items.values
            .filter { !it.done && !it.running && it.notBeforeMillis <= nowMillis }
            .map { Work(batch, it) }

    private fun record(
        work: Work,
        target: Target,
        outcome: ItemOutcome,
    ) {
        val item = work.item
        parts.metrics.attempted(outcome.javaClass.simpleName)
        parts.journal.record(
            Decision(
                subject = "item/${item.spec.id.value}",
                decision = "attempt ${item.attempts} ended: $outcome",
                rule = "one attempt at one target",
                cause = "batch ${work.batch.record.id.value}",
                inputs = "target ${target.id.value}, events held ${item.events}, versions ${item.versions()}",
            ),
        )
    }

    private data class Work(val batch: OwnedBatch, val item: ItemState) {
        fun waiting(
            ticket: Int,
            targets: Collection<Target>,
        ): WaitingItem {
            val group = item.spec.group
            return WaitingItem(
                ticket = ticket,
                dueAtMillis = batch.acceptedAtMillis + (batch.route.batch?.runTargetMillis ?: 0),
                groupOrder = batch.groupOrder.getValue(group),
                expectedTokens = item.spec.tokens,
                eligible = targets.filter { allows(it) }.mapTo(HashSet()) { it.id },
                avoid = item.lastFailed,
                groupTarget = batch.groupTargets[group],
            )
        }

        private fun allows(target: Target): Boolean {
            val model = batch.record.model
            val fresh = model == null || target.versions[model]?.let { it >= batch.record.minVersion } == true
            return fresh && batch.route.shares.any { it.service == target.service }
        }
    }

    private companion object {
        /** A change that nobody announced, such as the end of a target's backoff, is noticed within this time. */
        private const val PERIOD_MILLIS = 250L

        /** An item that found a target full goes elsewhere at once; one that finds all full waits for a probe. */
        private const val FULL_PAUSE_MILLIS = 50L
    }
}
