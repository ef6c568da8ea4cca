package bergamotwall.gateway.weights

import bergamotwall.decisions.EngineVersion
import bergamotwall.decisions.planLoads
import bergamotwall.gateway.GatewayBoard
import bergamotwall.gateway.targets.Target
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

    /** The holder before may act until its lease ends, and its last order may be under way then. */
    private val waitOutMillis = settings.leaseTtlSeconds * MILLIS_PER_SECOND + settings.orderTimeoutMillis

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
        val from = actsFromMillis ?: (parts.clock.monotonicMillis() + waitOutMillis).also { actsFromMillis = it }
        if (parts.clock.monotonicMillis() >= from) {
            parts.board.named.read().forEach { (model, version) ->
                plan(
                    scope,
                    model,
                    version
                )
            }
        }
    }

    private fun forget() {
        actsFromMillis = null
        loading.clear()
        engines.clear()
    }

    private fun plan(
        scope: CoroutineScope,
        model: ModelName,
        named: WeightVersion,
    ) {
        val service = parts.board.routes.read().serviceOf(model) ?: return
        val targets = parts.board.targets.read().usable(service.name).associateBy { it.id }
        val known = targets.values.map { EngineVersion(it.id, engines.versionOf(it, model)) }
        val share = maxOf(1, known.size / maxOf(1, service.models.size))
        val given = loading.filterValues { it.model == model && it.version >= named }.keys
        val idle = known.filter { it.id !in loading || it.id in given }
        planLoads(idle, named, share, given, settings.maxLoads - loading.size).forEach { id ->
            loading[id] = Load(model, named)
            scope.launch {
                try {
                    load(targets.getValue(id), model, named)
                } finally {
                    loading.remove(id)
                }
            }
        }
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
            else -> order(target, WeightOrder(model, version, parts.node, holding.fence, expected, keepRuns(model)))
        }
    }

    private suspend fun order(
        target: Target,
        order: WeightOrder,
    ) {
        val outcome = parts.orders.send(target, order)
        record(target, order, outcome)
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

    private fun keepRuns(model: ModelName): Boolean {
        val table = parts.board.routes.read()
        val service = table.serviceOf(model) ?: return true
        return table.routes.none { route ->
            route.batch?.singleVersion == true && route.shares.any { it.service == service.name }
        }
    }

    private fun record(
        target: Target,
        order: WeightOrder,
        outcome: OrderOutcome,
    ): Unit =
        parts.journal.record(
            Decision(
                subject = "target/${target.id.value}",
                decision = "order of ${order.model.value} ${order.version.value}: $outcome",
                rule = "a version goes to the engines that lag most",
                cause = "named by its trainer",
                inputs = "fence ${order.fence.value}, expected orders ${order.expectedOrders}",
            ),
        )

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
