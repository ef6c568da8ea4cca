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

/**
 * Moves engines to the versions that trainers name, while this process holds the duty. Confined to one thread.
 *
 * Guarantees: no order is sent without the lease, nor before the orders of the holder before can have ended; each
 * order states how many the engine has accepted, so that one carried out late is void.
 */
public class WeightRollout(
    private val node: NodeId,
    private val board: GatewayBoard,
    private val duty: Duty,
    private val orders: WeightOrders,
    private val clock: Clock,
    private val journal: Journal,
    private val settings: WeightSettings,
) {
    private class Load(val model: ModelName, val version: WeightVersion)

    private val loading = HashMap<TargetId, Load>()
    private val acceptedOrders = HashMap<TargetId, Long>()
    private val learned = HashMap<Pair<TargetId, ModelName>, WeightVersion>()
    private var actsFromMillis: Long? = null

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
        val from = actsFromMillis ?: (clock.monotonicMillis() + waitOutMillis()).also { actsFromMillis = it }
        if (clock.monotonicMillis() >= from) board.named.read().forEach { (model, version) -> plan(scope, model, version) }
    }

    /** The holder before may act until its lease ends, and its last order may be under way then. */
    private fun waitOutMillis(): Long = settings.leaseTtlSeconds * MILLIS_PER_SECOND + settings.orderTimeoutMillis

    private fun forget() {
        actsFromMillis = null
        loading.clear()
        acceptedOrders.clear()
        learned.clear()
    }

    private fun plan(
        scope: CoroutineScope,
        model: ModelName,
        named: WeightVersion,
    ) {
        val service = board.routes.read().serviceOf(model) ?: return
        val targets = board.targets.read().usable(service.name).associateBy { it.id }
        val engines = targets.values.map { EngineVersion(it.id, versionOf(it, model)) }
        val share = maxOf(1, engines.size / maxOf(1, service.models.size))
        val given = loading.filterValues { it.model == model && it.version >= named }.keys
        val idle = engines.filter { it.id !in loading || it.id in given }
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

    private fun versionOf(
        target: Target,
        model: ModelName,
    ): WeightVersion {
        val stated = target.versions[model] ?: WeightVersion(0)
        return maxOf(stated, learned[target.id to model] ?: stated)
    }

    private suspend fun load(
        target: Target,
        model: ModelName,
        version: WeightVersion,
    ) {
        val expected = acceptedOrders[target.id] ?: askReport(target, model) ?: return delay(settings.orderTimeoutMillis)
        if (versionOf(target, model) >= version) return
        val holding = duty.holding
        if (holding == null || !duty.mayAct()) return
        val order = WeightOrder(model, version, node, holding.fence, expected, keepRuns(model))
        val outcome = orders.send(target, order)
        record(target, order, outcome)
        when (outcome) {
            OrderOutcome.ACCEPTED -> {
                acceptedOrders[target.id] = expected + 1
                awaitVersion(target, model, version)
            }
            OrderOutcome.HOLDS_ALREADY -> learned[target.id to model] = version
            OrderOutcome.CONFLICT, OrderOutcome.REFUSED, OrderOutcome.UNKNOWN -> {
                acceptedOrders.remove(target.id)
                delay(settings.orderTimeoutMillis)
            }
        }
    }

    private suspend fun awaitVersion(
        target: Target,
        model: ModelName,
        version: WeightVersion,
    ) {
        val untilMillis = clock.monotonicMillis() + settings.loadMillis
        while (clock.monotonicMillis() < untilMillis) {
            val stated = board.targets.read().targets[target.id]?.versions?.get(model)
            if (stated != null && stated >= version) return
            delay(settings.periodMillis)
        }
        askReport(target, model)
    }

    private suspend fun askReport(
        target: Target,
        model: ModelName,
    ): Long? {
        val report = orders.report(target)
        if (report == null) acceptedOrders.remove(target.id) else acceptedOrders[target.id] = report.acceptedOrders
        report?.versions?.get(model)?.let { learned[target.id to model] = it }
        return report?.acceptedOrders
    }

    private fun keepRuns(model: ModelName): Boolean {
        val table = board.routes.read()
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
        journal.record(
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
