package bergamotwall.gateway.scaling

import bergamotwall.decisions.scaling.ItemLoad
import bergamotwall.decisions.scaling.ServiceLoad
import bergamotwall.model.NodeId
import bergamotwall.model.ServiceDemand
import bergamotwall.model.ServiceName
import bergamotwall.runtime.Clock

/** Demand of all processes, as reported to the leader. Not thread-safe. */
internal class CollectedDemand(private val clock: Clock) {
    private class Report(val services: Map<ServiceName, ServiceDemand>, val atMillis: Long)

    private val reports = HashMap<NodeId, Report>()

    /** Number of processes that have reported. */
    val size: Int get() = reports.size

    fun receive(
        node: NodeId,
        services: List<ServiceDemand>,
    ) {
        reports[node] = Report(services.associateBy { it.service }, clock.monotonicMillis())
    }

    /** Drops the reports of processes that are neither [registered] nor were heard lately: their work is lost. */
    fun retain(registered: Set<NodeId>) {
        val fromMillis = clock.monotonicMillis() - FORGET_MILLIS
        reports.entries.removeIf { (node, report) -> node !in registered && report.atMillis < fromMillis }
    }

    /** Whether all [registered] processes have reported to this leader; those of an older build never do. */
    fun isComplete(registered: Set<NodeId>): Boolean = reports.keys.containsAll(registered)

    /** Age of the oldest report of work of [service]; null if there is none. */
    fun oldestMillis(service: ServiceName): Long? =
        reports.values
            .filter { service in it.services }
            .minOfOrNull { it.atMillis }
            ?.let { clock.monotonicMillis() - it }

    /** The work of [service] of all processes together. */
    fun load(service: ServiceName): ServiceLoad {
        val nowMillis = clock.monotonicMillis()
        val demand = reports.values.mapNotNull { report -> report.services[service]?.let { it to report.atMillis } }
        return ServiceLoad(
            runningRequests = demand.sumOf { it.first.runningRequests },
            refusedPerSecond = demand.sumOf { it.first.refusedPerSecond }.toDouble(),
            requestMillis = average(demand.map { it.first.requestMillis }),
            itemMillis = average(demand.map { it.first.itemMillis }),
            items =
            demand.flatMap { (of, atMillis) ->
                of.itemCounts.zip(of.itemDueMillis) { count, dueMillis ->
                    ItemLoad(count, dueMillis.takeIf { it >= 0 }?.let { maxOf(0, it - (nowMillis - atMillis)) })
                }
            },
        )
    }

    private fun average(durations: List<Long>): Long = durations.filter { it > 0 }.ifEmpty {
        listOf(
            0L
        )
    }.average().toLong()

    private companion object {
        /** A process that is not registered any more may only be cut off from the key-value service. */
        private const val FORGET_MILLIS = 10_000L
    }
}
