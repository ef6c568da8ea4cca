package bergamotwall.gateway.weights

import bergamotwall.decisions.weights.LoadConcurrency
import bergamotwall.gateway.targets.Target
import bergamotwall.model.ModelName
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Decision
import java.util.concurrent.ConcurrentHashMap

/** Loads of weights that this process has planned or ordered and that have not ended. */
internal class WeightLoads(private val dependencies: WeightRolloutDependencies) {
    private class Load(val model: ModelName, val version: WeightVersion, val window: Long)

    private val concurrency = LoadConcurrency()

    /** Concurrent, because metrics read its size on another thread. */
    private val loads = ConcurrentHashMap<TargetId, Load>()

    /** Targets with a load. */
    val targets: Set<TargetId> get() = loads.keys

    init {
        dependencies.metrics.gauge("weight_loads", "Loads of weights that this process has ordered.") { loads.size }
    }

    /** How many loads may be started now in a service of [engines] engines. */
    fun room(engines: Int): Int = concurrency.limit(engines) - loads.size

    /** Records that loads wait because there is no room for them. */
    fun withheld(): Unit = concurrency.loadsWithheld()

    /** Targets that load [model] in [version] or a later one. */
    fun targetsOf(
        model: ModelName,
        version: WeightVersion,
    ): Set<TargetId> = loads.filterValues { it.model == model && it.version >= version }.keys

    fun started(
        target: TargetId,
        model: ModelName,
        version: WeightVersion,
    ) {
        loads[target] = Load(model, version, concurrency.currentWindow())
    }

    fun ended(target: TargetId) {
        loads.remove(target)
    }

    fun clear(): Unit = loads.clear()

    /** Records that the load of [order] at [target] took [tookMillis]; unless [loaded], it is not registered yet. */
    fun record(
        target: Target,
        order: WeightOrder,
        loaded: Boolean,
        tookMillis: Long,
    ) {
        dependencies.metrics.loaded(tookMillis)
        loads[target.id]?.let { concurrency.loadEnded(it.window, tookMillis) }
        dependencies.journal.record(
            Decision(
                subject = "target/${target.id.value}",
                decision = if (loaded) "load registered" else "load not registered",
                rule = "a load ends with the registration of its version",
                cause = "order of ${order.model.value} ${order.version.value}",
                inputs = "took $tookMillis ms, ${loads.size} loads in progress",
            ),
        )
    }
}
