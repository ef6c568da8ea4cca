package bergamotwall.controller

import bergamotwall.decisions.weights.RolloutGoal
import bergamotwall.decisions.weights.RolloutReplica
import bergamotwall.decisions.weights.decideRollout
import bergamotwall.drivers.EngineDriver
import bergamotwall.model.ModelIntent
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
import bergamotwall.model.Vm
import bergamotwall.model.WeightOrder
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Leadership
import bergamotwall.runtime.Node
import bergamotwall.runtime.SharedKeys
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/**
 * Orders the replicas of one model to load its published weight version while this process leads the rollout, which
 * [leadership] decides. Not thread-safe.
 */
internal class Rollout(
    private val leadership: Leadership,
    private val node: Node,
    private val engines: EngineDriver,
    private val model: () -> ModelIntent?,
) {
    private val fleetState = node.fleetState
    private val clock = node.clock
    private val journal = node.journal

    private class LastOrder(val version: WeightVersion, val atMillis: Long, val attempts: Int)

    /** A replica and its current report; [report] is null if it did not respond. */
    private class ObservedReplica(val vm: Vm, val report: TargetReport?)

    private val lastOrders = HashMap<TargetId, LastOrder>()
    private var goalVersion = WeightVersion(0)
    private var goalSinceMillis = 0L

    /** Moving average of the time from an order until the replica reports the ordered version. */
    private var swapMillis = DEFAULT_SWAP_MILLIS

    suspend fun step() {
        val intent = model() ?: return
        refreshGoal(intent)
        if (goalVersion.value == 0L) return
        val observed = observe(intent)
        val decision = decideRollout(goal(intent), observed.map { replicaState(it) })
        decision.excluded.forEach {
            journal.record(
                Decision("replica/${it.value}", "set aside", "its weight swaps failed repeatedly", "", decision.rule)
            )
        }
        coroutineScope {
            decision.order.map { id ->
                async {
                    order(
                        observed.first { it.vm.id == id.value }.vm,
                        intent,
                        decision.rule
                    )
                }
            }.awaitAll()
        }
    }

    private suspend fun refreshGoal(intent: ModelIntent) {
        val stored =
            node.store.get(SharedKeys.published(intent.name)).get()?.value?.toLong() ?: 0
        val gossiped = fleetState.published.read().of(intent.name)
        val newest = maxOf(gossiped, WeightVersion(stored))
        if (newest > goalVersion) {
            goalVersion = newest
            goalSinceMillis = clock.monotonicMillis()
        }
    }

    private suspend fun observe(intent: ModelIntent): List<ObservedReplica> =
        coroutineScope {
            fleetState.vmList
                .read()
                .vms
                .filter { it.serves == intent.name.value && !it.leaving }
                .map { vm -> async { ObservedReplica(vm, engines.report(vm.address).get()) } }
                .awaitAll()
        }

    private fun replicaState(observed: ObservedReplica): RolloutReplica {
        val id = TargetId(observed.vm.id)
        val last = lastOrders[id]
        val version = observed.report?.version ?: WeightVersion(0)
        val swapExpected = last != null && last.version == goalVersion && recentlyOrdered(last)
        if (version >= goalVersion && last != null) recordCompletedSwap(id, last)
        return RolloutReplica(
            id = id,
            version = version,
            swapping = observed.report?.swappingTo != null || (swapExpected && version < goalVersion),
            running = observed.report?.running ?: 0,
            reachable = observed.report != null,
            failedAttempts = if (last?.version == goalVersion) last.attempts else 0,
        )
    }

    /** Whether the replica may not have reported the swap of the [last] order yet. */
    private fun recentlyOrdered(last: LastOrder): Boolean =
        clock.monotonicMillis() - last.atMillis < REPORT_DELAY_MILLIS

    private fun recordCompletedSwap(
        id: TargetId,
        last: LastOrder,
    ) {
        lastOrders.remove(id)
        val tookMillis = clock.monotonicMillis() - last.atMillis
        swapMillis = (swapMillis + tookMillis) / 2
        journal.record(
            Decision(
                "replica/${id.value}",
                "serves ${goalVersion.value}",
                "the replica reported it",
                "",
                "$tookMillis ms"
            )
        )
    }

    private fun goal(intent: ModelIntent): RolloutGoal =
        RolloutGoal(
            version = goalVersion,
            floorPercent = intent.availabilityFloorPercent,
            stalenessWeightPercent = intent.stalenessWeightPercent,
            maxLoads = intent.maxConcurrentLoads,
            elapsedMillis = clock.monotonicMillis() - goalSinceMillis,
            budgetMillis = ROLLOUT_BUDGET_MILLIS,
            swapMillis = swapMillis,
        )

    private suspend fun order(
        vm: Vm,
        intent: ModelIntent,
        rule: String,
    ) {
        val holding = leadership.holding
        if (holding == null || !leadership.mayAct()) return
        val id = TargetId(vm.id)
        val last = lastOrders[id]?.takeIf { it.version == goalVersion }
        val outcome =
            engines
                .order(vm.address, WeightOrder(intent.name, goalVersion, holding.fence))
                .fold({ "accepted" }, { it.detail })
        lastOrders[id] = LastOrder(goalVersion, clock.monotonicMillis(), (last?.attempts ?: 0) + 1)
        val inputs = "fence ${holding.fence.value}, response $outcome"
        journal.record(Decision("replica/${vm.id}", "ordered to ${goalVersion.value}", rule, "published", inputs))
    }

    private companion object {
        private const val DEFAULT_SWAP_MILLIS = 2_000L
        private const val ROLLOUT_BUDGET_MILLIS = 15_000L
        private const val REPORT_DELAY_MILLIS = 500L
    }
}
