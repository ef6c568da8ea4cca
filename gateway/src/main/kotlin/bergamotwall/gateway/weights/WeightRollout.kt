package bergamotwall.gateway.weights

import bergamotwall.decisions.EngineVersion
import bergamotwall.decisions.ModelLoads
import bergamotwall.decisions.planLoads
import bergamotwall.gateway.GatewayBoard
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetList
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Duty
import bergamotwall.runtime.Journal
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** What the roll-out of weights needs. */
public data class WeightParts(
    public val node: NodeId,
    public val board: GatewayBoard,
    public val orders: WeightOrders,
    public val clock: Clock,
    public val journal: Journal,
    public val metrics: GatewayMetrics,
)

/**
 * Moves engines to the versions that trainers name, while this process holds the duty. Confined to one thread.
 *
 * Guarantees: no order is sent without the lease, nor before the orders of the holder before can have ended; each
 * order states how many the engine has accepted, so that one carried out late is void.
 */
public class WeightRollout(
    private val parts: WeightParts,
    private val duty: Duty,
    private val settings: WeightSettings,
) {
    private class Load(val model: ModelName, val version: WeightVersion)

    private val loading = HashMap<TargetId, Load>()
    private val engines = EngineKnowledge(parts.orders)
    private var actsFromMillis: Long? = null

    /** The holder before may act until it learns that its lease is gone, and engines want a pause between holders. */
    private val waitOutMillis = settings.leaseTtlSeconds * MILLIS_PER_SECOND + settings.pauseMillis

    /** Works in [scope]; [wanted] tells whether this process should hold the duty. */
    public fun start(
        scope: CoroutineScope,
        wanted: () -> Boolean,
    ): Job =
        scope.launch {
            while (true) {
                step(this, wanted())
                delay(settings.periodMillis)
            }
        }

    /** Gives the duty up. */
    public suspend fun release(): Unit = duty.release()

    private suspend fun step(
        scope: CoroutineScope,
        wanted: Boolean,
    ) {
        if (duty.holding == null && !wanted) return
        duty.step()
        if (duty.holding == null) {
            forget()
            return
        }
        if (mayOrder()) plan(scope)
    }

    /** The holder before may still send orders for a while, unless this process was that. */
    private suspend fun mayOrder(): Boolean {
        val nowMillis = parts.clock.monotonicMillis()
        val waitMillis = if (duty.actedLast) 0 else waitOutMillis
        val from = actsFromMillis ?: (nowMillis + waitMillis).also { actsFromMillis = it }
        return nowMillis >= from && duty.startActing()
    }

    private fun forget() {
        actsFromMillis = null
        loading.clear()
        engines.clear()
    }

    private fun plan(scope: CoroutineScope) {
        val targets = parts.board.targets.read()
        val models = parts.board.named.read().mapNotNull { (model, named) -> stateOf(model, named, targets) }
        planLoads(models, loading.keys, settings.maxLoads - loading.size).forEach { (model, id) ->
            val named = models.first { it.model == model }.named
            loading[id] = Load(model, named)
            scope.launch {
                try {
                    load(targets.targets.getValue(id), model, named)
                } finally {
                    loading.remove(id)
                }
            }
        }
    }

    private fun stateOf(
        model: ModelName,
        named: WeightVersion,
        targets: TargetList,
    ): ModelLoads? =
        parts.board.routes.read().serviceOf(model)?.let { service ->
            val versions = targets.usable(service.name).map { EngineVersion(it.id, engines.versionOf(it, model)) }
            val models = maxOf(1, service.models.size)
            ModelLoads(
                model = model,
                named = named,
                engines = versions,
                loading = loading.filterValues { it.model == model && it.version >= named }.keys,
                share = maxOf(1, versions.size / models),
                usable = minOf(versions.size, maxOf(1, 2 * versions.size / models)),
            )
        }

    private suspend fun load(
        target: Target,
        model: ModelName,
        version: WeightVersion,
    ) {
        val expected = engines.acceptedOrders(target, model)
        val holding = duty.holding
        when {
            expected == null -> delay(settings.orderTimeoutMillis)
            holding == null || !duty.mayAct() || engines.versionOf(target, model) >= version -> Unit
            else -> order(
                target,
                WeightOrder(
                    model,
                    version,
                    parts.node,
                    holding.fence,
                    expected,
                    parts.board.routes.read().allowsMixedVersions(model)
                )
            )
        }
    }

    private suspend fun order(
        target: Target,
        order: WeightOrder,
    ) {
        val outcome = parts.orders.send(target, order)
        parts.metrics.ordered(outcome.name)
        parts.journal.record(decisionOf(target, order, outcome))
        when (outcome) {
            OrderOutcome.ACCEPTED -> {
                engines.accepted(target, order)
                awaitVersion(target, order.model, order.version)
            }
            OrderOutcome.HOLDS_ALREADY -> engines.holds(target, order)
            OrderOutcome.CONFLICT, OrderOutcome.REFUSED, OrderOutcome.UNKNOWN -> {
                engines.forget(target)
                delay(settings.orderTimeoutMillis)
            }
        }
    }

    private suspend fun awaitVersion(
        target: Target,
        model: ModelName,
        version: WeightVersion,
    ) {
        val untilMillis = parts.clock.monotonicMillis() + settings.loadMillis
        while (parts.clock.monotonicMillis() < untilMillis) {
            val stated = parts.board.targets.read().targets[target.id]?.versions?.get(model)
            if (stated != null && stated >= version) return
            delay(settings.periodMillis)
        }
        engines.ask(target, model)
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L
    }
}

private fun decisionOf(
    target: Target,
    order: WeightOrder,
    outcome: OrderOutcome,
): Decision =
    Decision(
        subject = "target/${target.id.value}",
        decision = "order of ${order.model.value} ${order.version.value}: $outcome",
        rule = "a version goes to the engines that lag most",
        cause = "named by its trainer",
        inputs = "fence ${order.fence.value}, expected orders ${order.expectedOrders}",
    )
