package bergamotwall.gateway.scaling

import bergamotwall.decisions.scaling.NeedHistory
import bergamotwall.decisions.scaling.PoolOrder
import bergamotwall.decisions.scaling.ScalingPool
import bergamotwall.decisions.scaling.ScalingTerms
import bergamotwall.decisions.scaling.ServiceLoad
import bergamotwall.decisions.scaling.ServiceScaling
import bergamotwall.decisions.scaling.decideScaling
import bergamotwall.decisions.scaling.targetNeed
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetList
import bergamotwall.model.DataCentre
import bergamotwall.model.ServiceName

/** Need, targets and orders of one service, as the leader knows them since [sinceMillis]. Not thread-safe. */
internal class ServiceOrders(
    private val service: ServiceName,
    private val settings: ScalingSettings,
    private val sinceMillis: Long,
) {
    private val history = NeedHistory(settings.calmMillis)
    private val pools = LinkedHashMap<ScalingPool, OrderedPool>()
    private val shortSinceMillis = HashMap<DataCentre, Long>()
    private var terms = ScalingTerms(0, 0, 0)
    private var orderedAtMillis = sinceMillis
    private var storeAgainAtMillis = Long.MIN_VALUE

    /** Slots of a target; null until one was registered. */
    var slotsPerTarget: Int? = null
        private set

    /** The load that was observed last. */
    var load = ServiceLoad()
        private set

    private val settleMillis: Long get() = SETTLE_FACTOR * terms.startupMillis + SETTLE_MARGIN_MILLIS

    /** The pool [pool], created on first use. */
    fun pool(pool: ScalingPool): OrderedPool = pools.getOrPut(pool) { OrderedPool(pool.spot) }

    /** Registered, ordered and present targets by pool. */
    fun pools(): Map<ScalingPool, OrderedPool> = pools

    /** Applies what is known at [nowMillis]. */
    fun observe(
        nowMillis: Long,
        terms: ScalingTerms,
        targets: TargetList,
        load: ServiceLoad,
    ) {
        this.terms = terms
        this.load = load
        val all = targets.of(service).groupBy { poolOf(it) }
        (terms.pools + all.keys).forEach { pool(it) }
        pools.forEach { (pool, state) ->
            val leaving = all[pool].orEmpty().count { targets.isLeaving(it) }
            state.observe(all[pool].orEmpty().size - leaving, leaving > 0)
        }
        val usable = targets.usable(service)
        if (usable.isNotEmpty()) slotsPerTarget = maxOf(1, usable.sumOf { it.slots } / usable.size)
        history.add(nowMillis, targetNeed(load, slotsPerTarget, terms.startupMillis))
        terms.zonePrices.keys.forEach { dataCentre ->
            if (present(nowMillis, dataCentre) >= terms.minReplicas) {
                shortSinceMillis.remove(dataCentre)
            } else {
                shortSinceMillis.putIfAbsent(dataCentre, nowMillis)
            }
        }
    }

    /** Whether orders may be decided now: none that failed waits for its next attempt. */
    fun isDue(nowMillis: Long): Boolean = nowMillis >= storeAgainAtMillis && pools.values.all { it.isDue(nowMillis) }

    /** The inputs of the decision at [nowMillis]; [demandKnown]: the demand of all processes is known. */
    fun scaling(
        nowMillis: Long,
        demandKnown: Boolean,
    ): ServiceScaling {
        val calmFromMillis = nowMillis - maxOf(settings.calmMillis, CALM_FACTOR * terms.startupMillis)
        return ServiceScaling(
            terms = terms,
            present = pools.mapValues { it.value.present(nowMillis, settleMillis) },
            closed = pools.filterValues { it.isClosed(nowMillis, settleMillis, settings.unavailableMillis) }.keys,
            shortOfMinimum = shortSinceMillis.filterValues { nowMillis - it >= settleMillis }.keys,
            sustained = history.sustained(nowMillis - settings.confirmMillis),
            peak = history.peak(calmFromMillis),
            calm = demandKnown && orderedAtMillis <= calmFromMillis && history.covers(nowMillis - settings.calmMillis),
        )
    }

    /** Decides on [scaling]. Drops pending orders that are not decided again, and returns their pools, too. */
    fun decide(scaling: ServiceScaling): Pair<List<PoolOrder>, List<ScalingPool>> {
        val orders = decideScaling(scaling)
        val dropped = pools.filter { (pool, state) -> state.pending && orders.none { it.pool == pool } }.keys.toList()
        dropped.forEach { pool(it).dropped() }
        return orders to dropped
    }

    /** The order of [desired] targets in [pool] is stored at [nowMillis]. */
    fun stored(
        pool: ScalingPool,
        desired: Int,
        nowMillis: Long,
    ) {
        orderedAtMillis = nowMillis
        pool(pool).stored(desired)
    }

    /** An order could not be stored at [nowMillis]. */
    fun notStored(nowMillis: Long) {
        storeAgainAtMillis = nowMillis + STORE_AGAIN_MILLIS
    }

    private fun present(
        nowMillis: Long,
        dataCentre: DataCentre,
    ): Int = pools.filterKeys { it.dataCentre == dataCentre }.values.sumOf { it.present(nowMillis, settleMillis) }

    private fun poolOf(target: Target) = ScalingPool(target.dataCentre, target.spot)

    private companion object {
        /** Ordered targets have registered after twice their startup time and a few seconds, or don't come. */
        private const val SETTLE_FACTOR = 2
        private const val SETTLE_MARGIN_MILLIS = 5_000L

        /** Targets are not given up within this many startup times after an order. */
        private const val CALM_FACTOR = 3
        private const val STORE_AGAIN_MILLIS = 1_000L
    }
}
