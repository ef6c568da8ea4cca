package bergamotwall.gateway.weights

import bergamotwall.gateway.targets.Target
import bergamotwall.model.ModelName
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/** What the leader learns about engines from their responses, in addition to their registrations. Not thread-safe. */
internal class EngineStateCache(private val orders: WeightOrders) {
    private val acceptedOrders = HashMap<TargetId, Long>()
    private val observedVersions = HashMap<Pair<TargetId, ModelName>, WeightVersion>()

    /** Removes all entries. */
    fun clear() {
        acceptedOrders.clear()
        observedVersions.clear()
    }

    /** Number of orders that [target] has accepted; queries it if unknown. Null if it does not respond. */
    suspend fun acceptedOrders(
        target: Target,
        model: ModelName,
    ): Long? = acceptedOrders[target.id] ?: query(target, model)

    /** The newest version of [model] that [target] is known to run. */
    fun versionOf(
        target: Target,
        model: ModelName,
    ): WeightVersion {
        val reportedVersion = target.versions[model] ?: WeightVersion(0)
        return maxOf(reportedVersion, observedVersions[target.id to model] ?: reportedVersion)
    }

    /** Records that [target] has accepted [order]. */
    fun accepted(
        target: Target,
        order: WeightOrder,
    ) {
        acceptedOrders[target.id] = order.expectedOrders + 1
    }

    /** Records that [target] runs the version that [order] requests. */
    fun loaded(
        target: Target,
        order: WeightOrder,
    ) {
        observedVersions[target.id to order.model] = order.version
    }

    /** Discards the number of orders that [target] has accepted, so that it is queried next time. */
    fun invalidate(target: Target) {
        acceptedOrders.remove(target.id)
    }

    /**
     * Queries the state of [target]. Returns the number of orders that it has accepted, or null if it does not respond.
     */
    suspend fun query(
        target: Target,
        model: ModelName,
    ): Long? {
        val report = orders.report(target)
        if (report == null) invalidate(target) else acceptedOrders[target.id] = report.acceptedOrders
        report?.versions?.get(model)?.let { observedVersions[target.id to model] = it }
        return report?.acceptedOrders
    }

    /** Whether one of a few of [targets] responds; true if there are none. */
    suspend fun anyResponds(targets: List<Target>): Boolean {
        val asked = targets.sortedBy { it.id.value }.take(MAX_ASKED)
        return asked.isEmpty() ||
            coroutineScope { asked.map { async { orders.report(it) } }.awaitAll().any { it != null } }
    }

    private companion object {
        /** Fewer engines than this crash at the same time. */
        private const val MAX_ASKED = 8
    }
}
