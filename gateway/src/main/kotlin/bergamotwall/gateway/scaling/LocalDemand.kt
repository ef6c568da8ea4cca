package bergamotwall.gateway.scaling

import bergamotwall.model.ServiceDemand
import bergamotwall.model.ServiceName
import kotlin.math.abs
import kotlin.math.ceil

/** Demand at this process for the services whose targets can be ordered. Not thread-safe. */
internal class LocalDemand(private val dependencies: ScalingDependencies) {
    private val clock = dependencies.clock
    private var readAtMillis = clock.monotonicMillis()
    private var refused = emptyMap<ServiceName, Long>()

    /** Reads the demand; refusals are counted since the last call. */
    fun read(): List<ServiceDemand> {
        val nowMillis = clock.monotonicMillis()
        val elapsedMillis = maxOf(1, nowMillis - readAtMillis)
        val work = dependencies.work.read()
        val items = itemsByService(nowMillis)
        val scaled = dependencies.gatewayState.routes.read().services.filter { it.scaling != null }.map { it.name }
        val demand =
            scaled.map { service ->
                val recorded = work[service]
                val newlyRefused = (recorded?.refused ?: 0) - (refused[service] ?: 0)
                ServiceDemand(
                    service = service,
                    runningRequests = recorded?.running ?: 0,
                    refusedPerSecond = ceil(newlyRefused * MILLIS_PER_SECOND / elapsedMillis).toInt(),
                    requestMillis = recorded?.requestMillis ?: 0,
                    itemMillis = recorded?.itemMillis ?: 0,
                    itemCounts = items[service].orEmpty().map { it.first },
                    itemDueMillis = items[service].orEmpty().map { it.second },
                )
            }
        readAtMillis = nowMillis
        refused = work.mapValues { it.value.refused }
        return demand.filter { it.runningRequests > 0 || it.refusedPerSecond > 0 || it.itemCounts.isNotEmpty() }
    }

    /** Number of items and time until they are due, by service; items of several services are divided by weight. */
    private fun itemsByService(nowMillis: Long): Map<ServiceName, List<Pair<Int, Long>>> =
        dependencies.waitingItems()
            .flatMap { batch ->
                val total = maxOf(1, batch.shares.sumOf { it.weight })
                val dueMillis = batch.dueAtMillis?.let { maxOf(0, it - nowMillis) } ?: NO_DUE
                batch.shares.map { share ->
                    val count = ceil(batch.count * share.weight.toDouble() / total).toInt()
                    share.service to (count to dueMillis)
                }
            }
            .filter { it.second.first > 0 }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, items) -> bounded(items) }

    /** At most [MAX_BATCHES] of [items]: all others count as due with the last of these that is kept. */
    private fun bounded(items: List<Pair<Int, Long>>): List<Pair<Int, Long>> {
        val sorted = items.sortedBy { if (it.second < 0) Long.MAX_VALUE else it.second }
        val rest = sorted.drop(MAX_BATCHES - 1)
        if (rest.size <= 1) return sorted
        return sorted.take(MAX_BATCHES - 1) + (rest.sumOf { it.first } to rest.first().second)
    }

    companion object {
        /** Marks items without a due time in messages. */
        const val NO_DUE = -1L

        /** Keeps a report small, whatever the number of batches. */
        private const val MAX_BATCHES = 8
        private const val MILLIS_PER_SECOND = 1_000.0

        /** A change of more than a tenth, or of more than one, is reported at once. */
        private const val TENTH = 10

        /** Whether [demand] differs enough from [reported] to be reported. Due times pass by themselves. */
        fun differs(
            demand: List<ServiceDemand>,
            reported: List<ServiceDemand>,
        ): Boolean {
            val before = reported.associateBy { it.service }
            return demand.map { it.service }.toSet() != before.keys ||
                demand.any { now ->
                    val then = before.getValue(now.service)
                    differs(now.runningRequests, then.runningRequests) ||
                        differs(now.refusedPerSecond, then.refusedPerSecond) ||
                        now.itemCounts.size != then.itemCounts.size ||
                        differs(now.itemCounts.sum(), then.itemCounts.sum())
                }
        }

        private fun differs(
            now: Int,
            then: Int,
        ): Boolean = (now == 0) != (then == 0) || abs(now - then) > maxOf(1, then / TENTH)
    }
}
