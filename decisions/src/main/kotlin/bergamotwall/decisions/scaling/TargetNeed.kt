package bergamotwall.decisions.scaling

import kotlin.math.ceil

/** [count] items of a batch whose text is not complete, due in [dueInMillis]; null if they have no due time. */
public data class ItemLoad(val count: Int, val dueInMillis: Long?)

/**
 * Work of a service, of all processes together. [runningRequests] are at targets. [refusedPerSecond] could not be sent,
 * because no target was free. A request takes [requestMillis], an item [itemMillis]; 0 if not known.
 */
public data class ServiceLoad(
    val runningRequests: Int = 0,
    val refusedPerSecond: Double = 0.0,
    val requestMillis: Long = 0,
    val itemMillis: Long = 0,
    val items: List<ItemLoad> = emptyList(),
)

/**
 * Number of targets that a load needs: [least] serve it with all slots in use; with fewer than [scaleUpBelow], targets
 * are ordered, up to [withReserve].
 */
public data class TargetNeed(val least: Int, val scaleUpBelow: Int, val withReserve: Int) {
    /** Needs. */
    public companion object {
        /** The need of a service without work. */
        public val NONE: TargetNeed = TargetNeed(0, 0, 0)
    }
}

/**
 * The targets of [slotsPerTarget] slots that [load] needs, where new targets serve after [startupMillis].
 *
 * Answers two kinds of load: requests, which must find a free slot at once, and items of batches, which may wait until
 * they are due. Requests need a slot for each that runs, and for each that would run if it had not been refused. Items
 * use all slots that are free, so the number in use says nothing about their need; they need the slots with which the
 * items due until each moment end by then. Items that are due before new targets could run them count as due at the
 * first moment at which these could have. Without a known duration of items, or of slots, one target is needed.
 */
public fun targetNeed(
    load: ServiceLoad,
    slotsPerTarget: Int?,
    startupMillis: Long,
): TargetNeed {
    val requests = load.runningRequests + load.refusedPerSecond * load.requestMillis / MILLIS_PER_SECOND
    val items = itemSlots(load, startupMillis)
    val any = load.runningRequests > 0 || load.refusedPerSecond > 0 || load.items.any { it.count > 0 }
    val targets = { slots: Double -> if (!any) 0 else maxOf(1, ceil(slots / (slotsPerTarget ?: 1)).toInt()) }
    return when {
        !any -> TargetNeed.NONE
        slotsPerTarget == null -> TargetNeed(1, 1, 1)
        else ->
            TargetNeed(
                least = targets(requests + items),
                scaleUpBelow = targets(requests / SCALE_UP_USE + items / ITEM_USE),
                withReserve = targets(requests / TARGET_USE + items / ITEM_USE),
            )
    }
}

private fun itemSlots(
    load: ServiceLoad,
    startupMillis: Long,
): Double {
    val firstMillis = startupMillis + load.itemMillis
    var items = 0
    return load.items
        .map { maxOf(it.dueInMillis ?: NO_DUE_MILLIS, firstMillis) to it.count }
        .sortedBy { it.first }
        .maxOfOrNull { (dueInMillis, count) ->
            items += count
            // No more slots than items can be used at once.
            minOf(items.toDouble(), items * load.itemMillis.toDouble() / maxOf(1, dueInMillis))
        } ?: 0.0
}

private const val MILLIS_PER_SECOND = 1_000.0

/** Above this use of the slots, requests that arrive at random often find none free. */
private const val SCALE_UP_USE = 0.85

/** Use of the slots that targets are ordered for. Less than [SCALE_UP_USE], so that small changes order nothing. */
private const val TARGET_USE = 0.7

/** Items wait for slots anyway; the rest is for runs that fail and for batches whose last items are slow. */
private const val ITEM_USE = 0.8

/** Items without a due time are spread over five minutes. */
private const val NO_DUE_MILLIS = 300_000L
