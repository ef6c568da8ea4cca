package bergamotwall.controller

import bergamotwall.decisions.RolloutGoal
import bergamotwall.decisions.RolloutReplica
import bergamotwall.decisions.decideRollout
import bergamotwall.drivers.EngineDriver
import bergamotwall.model.ModelIntent
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
import bergamotwall.model.Vm
import bergamotwall.model.WeightOrder
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Duty
import bergamotwall.runtime.Node
import bergamotwall.runtime.SharedKeys
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/** Brings the replicas of one model to the published version while [duty] is held. Not thread-safe. */
internal class Rollout(
    private val duty: Duty,
    private val node: Node,
    private val engines: EngineDriver,
    private val model: () -> ModelIntent?,
) {
    private val board = node.board
    private val clock = node.clock
    private val journal = node.journal

    private class Ordered(val version: WeightVersion, val atMillis: Long, val attempts: Int)

    private class Seen(val vm: Vm, val report: TargetReport?)

    private val ordered = HashMap<TargetId, Ordered>()
    private var goalVersion = WeightVersion(0)
    private var goalSinceMillis = 0L
    private var swapMillis = DEFAULT_SWAP_MILLIS

    suspend fun step() {
        val intent = model() ?: return
        readGoal(intent)
        if (goalVersion.value == 0L) return
        val seen = observe(intent)
        val decision = decideRollout(goal(intent), seen.map { replica(it) })
        decision.setAside.forEach {
            journal.record(Decision("replica/${it.value}", "set aside", "its swaps kept failing", "", decision.rule))
        }
        coroutineScope {
            decision.order.map { id ->
                async {
                    order(
                        seen.first { it.vm.id == id.value }.vm,
                        intent,
                        decision.rule
                    )
                }
            }.awaitAll()
        }
    }

    private suspend fun readGoal(intent: ModelIntent) {
        val stored =
            node.store.get(SharedKeys.published(intent.name)).get()?.value?.toLong() ?: 0
        val heard = board.published.read().of(intent.name)
        val newest = maxOf(heard, WeightVersion(stored))
        if (newest > goalVersion) {
            goalVersion = newest
            goalSinceMillis = clock.monotonicMillis()
        }
    }

    private suspend fun observe(intent: ModelIntent): List<Seen> =
        coroutineScope {
            board.vmList
                .read()
                .vms
                .filter { it.serves == intent.name.value && !it.leaving }
                .map { vm -> async { Seen(vm, engines.report(vm.address).get()) } }
                .awaitAll()
        }

    private fun replica(seen: Seen): RolloutReplica {
        val id = TargetId(seen.vm.id)
        val last = ordered[id]
        val version = seen.report?.version ?: WeightVersion(0)
        val underWay = last != null && last.version == goalVersion && justOrdered(last)
        if (version >= goalVersion && last != null) arrived(id, last)
        return RolloutReplica(
            id = id,
            version = version,
            swapping = seen.report?.swappingTo != null || (underWay && version < goalVersion),
            running = seen.report?.running ?: 0,
            reachable = seen.report != null,
            failedAttempts = if (last?.version == goalVersion) last.attempts else 0,
        )
    }

    private fun justOrdered(last: Ordered): Boolean =
        clock.monotonicMillis() - last.atMillis < ORDER_SETTLE_MILLIS

    private fun arrived(
        id: TargetId,
        last: Ordered,
    ) {
        ordered.remove(id)
        val tookMillis = clock.monotonicMillis() - last.atMillis
        swapMillis = (swapMillis + tookMillis) / 2
        journal.record(
            Decision("replica/${id.value}", "serves ${goalVersion.value}", "it reported so", "", "$tookMillis ms")
        )
    }

    private fun goal(intent: ModelIntent): RolloutGoal =
        RolloutGoal(
            version = goalVersion,
            floorPercent = intent.availabilityFloorPercent,
            stalenessWeightPercent = intent.stalenessWeightPercent,
            maxLoads = intent.maxConcurrentLoads,
            elapsedMillis = clock.monotonicMillis() - goalSinceMillis,
            budgetMillis = BUDGET_MILLIS,
            swapMillis = swapMillis,
        )

    private suspend fun order(
        vm: Vm,
        intent: ModelIntent,
        rule: String,
    ) {
        val holding = duty.holding
        if (holding == null || !duty.mayAct()) return
        val id = TargetId(vm.id)
        val last = ordered[id]?.takeIf { it.version == goalVersion }
        val outcome =
            engines
                .order(vm.address, WeightOrder(intent.name, goalVersion, holding.fence))
                .fold({ "accepted" }, { it.detail })
        ordered[id] = Ordered(goalVersion, clock.monotonicMillis(), (last?.attempts ?: 0) + 1)
        val inputs = "fence ${holding.fence.value}, answer $outcome"
        journal.record(Decision("replica/${vm.id}", "ordered to ${goalVersion.value}", rule, "published", inputs))
    }

    private companion object {
        private const val DEFAULT_SWAP_MILLIS = 2_000L
        private const val BUDGET_MILLIS = 15_000L
        private const val ORDER_SETTLE_MILLIS = 500L
    }
}
