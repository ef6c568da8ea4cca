package bergamotwall.gateway.scaling

import bergamotwall.decisions.scaling.PoolOrder
import bergamotwall.decisions.scaling.ServiceScaling
import bergamotwall.model.ServiceName
import bergamotwall.runtime.Decision

/** Records [order] with its inputs and their ages in the journal; [sources] tells where the demand is known from. */
internal fun ScalingDependencies.record(
    service: ServiceName,
    orders: ServiceOrders,
    order: PoolOrder,
    scaling: ServiceScaling,
    sources: String,
) {
    val targetsAgeMillis = targetsConfirmedAtMillis()?.let { clock.monotonicMillis() - it }
    val load = orders.load
    journal.record(
        Decision(
            subject = "duty/scaling/${service.value}/${order.pool.dataCentre.value}",
            decision = "${order.desired} ${if (order.pool.spot) "spot" else "regular"} targets ordered",
            rule = order.reason.name.lowercase(),
            cause = "sustained ${scaling.sustained}, peak ${scaling.peak}",
            inputs = "registered ${orders.pool(order.pool).registered}, present ${scaling.present[order.pool] ?: 0} " +
                "of ${scaling.present.values.sum()}, closed pools ${scaling.closed.size}, targets confirmed " +
                "$targetsAgeMillis ms ago, running requests ${load.runningRequests} of ${load.requestMillis} ms, " +
                "refused ${load.refusedPerSecond}/s, items ${load.items.sumOf { it.count }} of " +
                "${load.itemMillis} ms, first due in ${load.items.mapNotNull { it.dueInMillis }.minOrNull()} ms, " +
                "slots of a target ${orders.slotsPerTarget}, $sources",
        ),
    )
}
