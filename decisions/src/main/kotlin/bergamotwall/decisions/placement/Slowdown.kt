package bergamotwall.decisions.placement

import kotlin.math.abs

/**
 * How many times longer than usual work takes at a target: [reported] by its report of [ageMillis] ago, and [typical]
 * for it.
 */
public data class Slowdown(
    val reported: Double,
    val ageMillis: Long,
    val typical: Double = 1.0,
) {
    /**
     * The mean slowdown expected over the next [millis]. The report's weight decays from one to zero within
     * [WEIGHT_MILLIS] of it, so that it counts fully for a short request and little for a generation of some seconds.
     */
    public fun over(millis: Double): Double {
        val spanMillis = maxOf(1.0, millis)
        val weight = (weightMillis(ageMillis + spanMillis) - weightMillis(ageMillis.toDouble())) / spanMillis
        return typical + (reported - typical) * weight
    }

    internal companion object {
        /** Slowdowns change several times a second, so that older reports tell nothing. */
        private const val WEIGHT_MILLIS = 1_000.0

        /** The sum of a report's weights over the [distanceMillis] after it (or before it, if negative). */
        fun weightMillis(distanceMillis: Double): Double {
            val distance = distanceMillis.coerceIn(-WEIGHT_MILLIS, WEIGHT_MILLIS)
            return distance - distance * abs(distance) / (2 * WEIGHT_MILLIS)
        }
    }
}
