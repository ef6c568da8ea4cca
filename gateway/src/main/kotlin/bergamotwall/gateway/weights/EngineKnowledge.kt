package bergamotwall.gateway.weights

import bergamotwall.gateway.targets.Target
import bergamotwall.model.ModelName
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/** What the holder of the duty knows of engines beyond their registrations. Confined to one thread. */
internal class EngineKnowledge(private val orders: WeightOrders) {
    private val acceptedOrders = HashMap<TargetId, Long>()
    private val learned = HashMap<Pair<TargetId, ModelName>, WeightVersion>()

    /** Forgets everything. */
    fun clear() {
        acceptedOrders.clear()
        learned.clear()
    }

    /** Orders that [target] has accepted; asks it if that is not known. Null if it does not answer. */
    suspend fun acceptedOrders(
        target: Target,
        model: ModelName,
    ): Long? = acceptedOrders[target.id] ?: ask(target, model)

    /** Newest version of [model] that [target] is known to run. */
    fun versionOf(
        target: Target,
        model: ModelName,
    ): WeightVersion {
        val stated = target.versions[model] ?: WeightVersion(0)
        return maxOf(stated, learned[target.id to model] ?: stated)
    }

    /** [target] accepted [order]. */
    fun accepted(
        target: Target,
        order: WeightOrder,
    ) {
        acceptedOrders[target.id] = order.expectedOrders + 1
    }

    /** [target] runs what [order] asks for. */
    fun holds(
        target: Target,
        order: WeightOrder,
    ) {
        learned[target.id to order.model] = order.version
    }

    /** What [target] accepted is no longer known. */
    fun forget(target: Target) {
        acceptedOrders.remove(target.id)
    }

    /** Asks [target] for its state; returns the orders it accepted, or null if it does not answer. */
    suspend fun ask(
        target: Target,
        model: ModelName,
    ): Long? {
        val report = orders.report(target)
        if (report == null) forget(target) else acceptedOrders[target.id] = report.acceptedOrders
        report?.versions?.get(model)?.let { learned[target.id to model] = it }
        return report?.acceptedOrders
    }
}
