package bergamotwall.gateway.weights

import bergamotwall.decisions.weights.EngineVersion
import bergamotwall.decisions.weights.ModelRolloutState
import bergamotwall.decisions.weights.planLoads
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.duties.LeaderTerm
import bergamotwall.gateway.duties.TermPhase
import bergamotwall.gateway.duties.TermTiming
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetList
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Journal
import bergamotwall.runtime.Leadership
import bergamotwall.runtime.launchSupervised
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Dependencies of [WeightRollout]. */
public data class WeightRolloutDependencies(
    public val node: NodeId,
    public val gatewayState: GatewayState,
    public val orders: WeightOrders,
    public val clock: Clock,
    public val journal: Journal,
    public val metrics: GatewayMetrics,
)

/**
 * While this process is the leader, makes engines load the weight versions that trainers name. Not thread-safe: the
 * scope of [start] must be confined to one thread.
 *
 * Gives up the leadership if it reaches none of several engines, because another process may reach them. Orders can't
 * be relayed: engines would see two leaders.
 *
 * Guarantees: no order is sent without the lease, nor while orders of the previous leader may still be under way. Each
 * order states how many orders the engine has accepted, so that the engine refuses an order that arrives late.
 */
public class WeightRollout(
    private val dependencies: WeightRolloutDependencies,
    private val leadership: Leadership,
    private val settings: WeightSettings,
) {
    private val loads = WeightLoads(dependencies)
    private val engines = EngineStateCache(dependencies.orders)

    /**
     * The previous leader may act until it notices that its lease has expired, and engines require a pause between the
     * orders of two leaders.
     */
    private val predecessorWaitMillis = settings.leaseTtlSeconds * MILLIS_PER_SECOND + settings.pauseMillis
    private val term =
        LeaderTerm(
            leadership,
            dependencies.clock,
            TermTiming(predecessorWaitMillis, settings.pauseMillis, settings.abstainMillis),
            receivers = "engines",
        )

    /**
     * Starts the rollout in [scope]. [eligible] returns whether this process should try to become the leader,
     * [hasPaths] whether it has paths to targets.
     */
    public fun start(
        scope: CoroutineScope,
        hasPaths: () -> Boolean = { true },
        eligible: () -> Boolean,
    ): Job =
        scope.launchSupervised("weights") {
            while (true) {
                step(this, eligible(), hasPaths())
                delay(settings.periodMillis)
            }
        }

    /** Gives up the leadership. */
    public suspend fun release(): Unit = leadership.release()

    private suspend fun step(
        scope: CoroutineScope,
        eligible: Boolean,
        hasPaths: Boolean,
    ) {
        when (term.step(eligible, hasPaths)) {
            TermPhase.NOT_COMPETING, TermPhase.WAITING -> Unit
            TermPhase.NOT_LEADING -> {
                loads.clear()
                engines.clear()
            }
            TermPhase.ACTING -> plan(scope)
        }
    }

    private fun plan(scope: CoroutineScope) {
        val targets = dependencies.gatewayState.targets.read()
        val states = dependencies.gatewayState.namedVersions.read().mapNotNull { (model, namedVersion) ->
            rolloutStateOf(
                model,
                namedVersion,
                targets
            )
        }
        val room = loads.room(states.flatMapTo(HashSet()) { state -> state.engines.map { it.id } }.size)
        // One more than there is room for, to see whether loads have to wait.
        val planned = planLoads(states, loads.targets, room + 1)
        if (planned.size > room) loads.withheld()
        planned.take(maxOf(0, room)).forEach { (model, id) ->
            val namedVersion = states.first { it.model == model }.namedVersion
            loads.started(id, model, namedVersion)
            scope.launch {
                try {
                    load(targets.targets.getValue(id), model, namedVersion)
                } finally {
                    loads.ended(id)
                }
            }
        }
    }

    private fun rolloutStateOf(
        model: ModelName,
        namedVersion: WeightVersion,
        targets: TargetList,
    ): ModelRolloutState? =
        dependencies.gatewayState.routes.read().serviceOf(model)?.let { service ->
            val engineVersions = targets.usable(service.name).map { EngineVersion(it.id, engines.versionOf(it, model)) }
            val modelCount = maxOf(1, service.models.size)
            ModelRolloutState(
                model = model,
                namedVersion = namedVersion,
                engines = engineVersions,
                loading = loads.targetsOf(model, namedVersion),
                share = maxOf(1, engineVersions.size / modelCount),
                usable = minOf(engineVersions.size, maxOf(1, 2 * engineVersions.size / modelCount)),
            )
        }

    private suspend fun load(
        target: Target,
        model: ModelName,
        version: WeightVersion,
    ) {
        val expectedOrders = engines.acceptedOrders(target, model)
        val holding = leadership.holding
        when {
            expectedOrders == null -> {
                val engineList = dependencies.gatewayState.targets.read().usable(target.service)
                term.cutOff = term.cutOff || !engines.anyResponds(engineList - target)
                delay(settings.orderTimeoutMillis)
            }
            holding == null || !leadership.mayAct() || engines.versionOf(target, model) >= version -> Unit
            else -> order(
                target,
                WeightOrder(
                    model,
                    version,
                    dependencies.node,
                    holding.fence,
                    expectedOrders,
                    dependencies.gatewayState.routes.read().allowsMixedVersions(model)
                )
            )
        }
    }

    private suspend fun order(
        target: Target,
        order: WeightOrder,
    ) {
        val outcome = term.orders.send({ it != OrderOutcome.UNKNOWN }) {
            dependencies.orders.send(target, order)
        }
        dependencies.metrics.ordered(outcome.name)
        dependencies.journal.record(decisionOf(target, order, outcome))
        when (outcome) {
            OrderOutcome.ACCEPTED -> {
                engines.accepted(target, order)
                val orderedAtMillis = dependencies.clock.monotonicMillis()
                val loaded = awaitVersion(target, order.model, order.version)
                loads.record(target, order, loaded, dependencies.clock.monotonicMillis() - orderedAtMillis)
            }
            OrderOutcome.HOLDS_ALREADY -> engines.loaded(target, order)
            OrderOutcome.CONFLICT, OrderOutcome.REFUSED, OrderOutcome.UNKNOWN -> {
                engines.invalidate(target)
                delay(settings.orderTimeoutMillis)
            }
        }
    }

    /** Waits until [target] has registered [version]; returns false if it does not in time. */
    private suspend fun awaitVersion(
        target: Target,
        model: ModelName,
        version: WeightVersion,
    ): Boolean {
        val untilMillis = dependencies.clock.monotonicMillis() + settings.loadMillis
        while (dependencies.clock.monotonicMillis() < untilMillis) {
            val reportedVersion = dependencies.gatewayState.targets.read().targets[target.id]?.versions?.get(model)
            if (reportedVersion != null && reportedVersion >= version) return true
            delay(settings.periodMillis)
        }
        engines.query(target, model)
        return false
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
        rule = "the engines with the oldest versions load first",
        cause = "named by its trainer",
        inputs = "fence ${order.fence.value}, expected orders ${order.expectedOrders}",
    )
