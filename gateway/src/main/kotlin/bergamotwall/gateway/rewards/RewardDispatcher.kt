package bergamotwall.gateway.rewards

import bergamotwall.decisions.admission.backoffMillis
import bergamotwall.decisions.batches.RewardPool
import bergamotwall.decisions.batches.WaitingReward
import bergamotwall.decisions.batches.selectRewardCalls
import bergamotwall.gateway.batches.ItemPhase
import bergamotwall.gateway.batches.ItemState
import bergamotwall.gateway.batches.OwnedBatch
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.targets.SendPurpose
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.ServiceName
import bergamotwall.runtime.launchSupervised
import bergamotwall.runtime.recovering
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Has the stored texts of all owned batches scored: sends the reward calls of their items, as many at once as leave
 * room to callers, and repeats them until they have a score or have failed permanently. [onItemDone] is called with the
 * batch of each item that is done. Confined to the batch loop, on which [scope] runs.
 */
internal class RewardDispatcher(
    private val scope: CoroutineScope,
    private val dependencies: TargetDependencies,
    private val caller: RewardCaller,
    private val settings: RewardSettings,
    private val onItemDone: (OwnedBatch) -> Unit,
) {
    private val batches = ArrayList<OwnedBatch>()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val metrics = RewardMetrics(dependencies.metrics)

    init {
        scope.launchSupervised("rewards") {
            while (true) {
                val waiting = dispatch()
                if (waiting) withTimeoutOrNull(RECHECK_PERIOD_MILLIS) { wake.receive() } else wake.receive()
            }
        }
    }

    /** Starts to score the texts of [batch]. */
    fun add(batch: OwnedBatch) {
        batches += batch
        wake()
    }

    /** Cancels the reward calls of [batch] and sends no more of them. */
    fun remove(batch: OwnedBatch) {
        if (batches.remove(batch)) batch.items.values.forEach { it.reward?.job?.cancel() }
    }

    /** Triggers a dispatch, because a text was stored, a call ended, or the routes or targets changed. */
    fun wake() {
        wake.trySend(Unit)
    }

    /** Sends the calls that may be sent now; returns whether any other call waits. */
    private fun dispatch(): Boolean {
        val nowMillis = dependencies.clock.monotonicMillis()
        val unsent =
            batches.filter { it.maySend }.flatMap { batch ->
                batch.items.values.mapNotNull { item -> pendingReward(batch, item) }
            }
        unsent
            .filter { it.reward.notBeforeMillis <= nowMillis }
            .groupBy { routeOf(it, nowMillis) }
            .forEach { (route, rewards) -> if (route != null) dispatch(route, rewards, nowMillis) }
        return unsent.any { it.reward.job == null }
    }

    private fun pendingReward(
        batch: OwnedBatch,
        item: ItemState,
    ): PendingReward? {
        val reward = item.reward?.takeIf { it.job == null && item.phase is ItemPhase.AwaitingScore }
        return reward?.let { PendingReward(batch, item, it) }
    }

    /** The route of the call of [pending] in the configuration in force. Without one, the call waits. */
    private fun routeOf(
        pending: PendingReward,
        nowMillis: Long,
    ): Route? {
        val call = pending.reward.call
        val route =
            dependencies.gatewayState.routes
                .read()
                .find(call.host, call.path)
                ?.takeIf { it.kind == RouteKind.IDEMPOTENT || it.kind == RouteKind.AT_MOST_ONCE }
        if (route == null) {
            pending.reward.notBeforeMillis = nowMillis + settings.unroutedPauseMillis
            dependencies.journal.record(pending.decision("waits", "no route to ${call.host}${call.path}"))
        }
        return route
    }

    private fun dispatch(
        route: Route,
        rewards: List<PendingReward>,
        nowMillis: Long,
    ) {
        val services = route.shares.map { it.service }
        val waiting =
            rewards.mapIndexed { ticket, pending ->
                val group = pending.item.spec.group
                WaitingReward(
                    ticket = ticket,
                    dueAtMillis = pending.batch.dueAtMillis,
                    ungeneratedInGroup = pending.batch.ungenerated(group),
                    groupOrder = pending.batch.groupOrder.getValue(group),
                )
            }
        selectRewardCalls(waiting, poolOf(services)).forEach { send(rewards[it], route, nowMillis) }
    }

    private fun poolOf(services: List<ServiceName>): RewardPool {
        val targets = dependencies.gatewayState.targets.read()
        val usable = services.flatMap { targets.usable(it) }
        val candidates = dependencies.candidates(usable, SendPurpose.REWARD).filter { it.available }
        val inFlight =
            batches.sumOf { batch ->
                batch.items.values.count { it.reward?.job != null && it.reward.services == services }
            }
        return RewardPool(
            slots = candidates.sumOf { it.slots },
            running = candidates.sumOf { it.running },
            inFlight = inFlight,
            sharePercent = settings.slotSharePercent,
        )
    }

    private fun send(
        pending: PendingReward,
        route: Route,
        nowMillis: Long,
    ) {
        val leftMillis = pending.batch.dueAtMillis - nowMillis
        // An overdue item still earns something, so its call gets as long as a caller's request.
        val timeoutMillis = if (leftMillis > 0) minOf(leftMillis, route.timeoutMillis) else route.timeoutMillis
        pending.reward.services = route.shares.map { it.service }
        // Started lazily, so that the call counts as in flight before it runs.
        val job =
            scope.launch(start = CoroutineStart.LAZY) {
                val outcome =
                    recovering("reward call", { RewardOutcome.Failed("unexpected: $it", 0) }) {
                        caller.send(pending.reward.call, pending.batch.record.workspace, route, timeoutMillis)
                    }
                pending.reward.job = null
                handleOutcome(pending, route, outcome, dependencies.clock.monotonicMillis() - nowMillis)
                wake()
            }
        pending.reward.job = job
        job.start()
    }

    private fun handleOutcome(
        pending: PendingReward,
        route: Route,
        outcome: RewardOutcome,
        tookMillis: Long,
    ) {
        val (batch, item, reward) = pending
        metrics.ended(route.name, outcome.javaClass.simpleName, tookMillis)
        if (!batch.active || item.phase !is ItemPhase.AwaitingScore) {
            return dependencies.journal.record(pending.decision("ignored", "the batch is no longer run: $outcome"))
        }
        when (outcome) {
            is RewardOutcome.Scored -> batch.scored(item, outcome.score)
            is RewardOutcome.Failed -> {
                reward.failedRuns += outcome.failedRuns
                reward.notBeforeMillis =
                    dependencies.clock.monotonicMillis() + backoffMillis(++reward.failures, dependencies.random)
                if (reward.failedRuns >= route.maxAttempts) batch.fail(item)
            }
            is RewardOutcome.NotRun ->
                reward.notBeforeMillis =
                    dependencies.clock.monotonicMillis() +
                    outcome.retryAfterMillis.coerceIn(1, settings.maxRefusedPauseMillis)
        }
        val decision = if (item.done) "ended" else "to be tried again"
        dependencies.journal.record(pending.decision(decision, "$outcome, took $tookMillis ms"))
        if (item.done) onItemDone(batch)
    }

    private companion object {
        /** Longest delay until a call is sent that waits for its backoff, or for slots that others release. */
        private const val RECHECK_PERIOD_MILLIS = 50L
    }
}
