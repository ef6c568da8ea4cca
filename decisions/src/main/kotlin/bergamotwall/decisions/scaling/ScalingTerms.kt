package bergamotwall.decisions.scaling

import bergamotwall.model.DataCentre

/** Targets of a service that are ordered and counted together: those of a kind in a data centre. */
public data class ScalingPool(val dataCentre: DataCentre, val spot: Boolean)

/**
 * What the configuration says about ordering targets of a service. [minReplicas] and [maxReplicas] bound regular and
 * spot targets together, in each data centre. New targets serve after [startupMillis]. A second of a regular target
 * costs the figure of its data centre in [zonePrices], one of a spot target [spotPrice] times that. [spotPrice] is null
 * if spot targets can't be ordered.
 */
public data class ScalingTerms(
    val minReplicas: Int,
    val maxReplicas: Int,
    val startupMillis: Long,
    val spotPrice: Double? = null,
    val zonePrices: Map<DataCentre, Double> = emptyMap(),
) {
    /** Price of a second of a target in [pool]; null if none can be ordered there. */
    public fun priceOf(pool: ScalingPool): Double? {
        val price = zonePrices[pool.dataCentre]
        val factor = if (pool.spot) spotPrice else 1.0
        return if (price == null || factor == null) null else price * factor
    }

    /** Pools in which targets can be ordered, the cheapest first. */
    public val pools: List<ScalingPool> =
        zonePrices.keys
            .flatMap { listOf(ScalingPool(it, spot = false), ScalingPool(it, spot = true)) }
            .filter { priceOf(it) != null }
            .sortedWith(compareBy({ priceOf(it) }, { it.dataCentre.value }, { it.spot }))
}
