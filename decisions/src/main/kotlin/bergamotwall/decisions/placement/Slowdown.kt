package bergamotwall.decisions.placement

import kotlin.math.abs
import kotlin.math.exp

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
     * The mean slowdown expected over the next [millis]. The report's weight decays exponentially with
     * its age, so that it counts fully for a short request and little for a generation of some seconds.
     */
    public fun over(millis: Double): Double {
        val spanMillis = maxOf(1.0, millis)
        val weight = (weightMillis(ageMillis + spanMillis) - weightMillis(ageMillis.toDouble())) / spanMillis
        return typical + (reported - typical) * weight
    }

    internal companion object {
        /**
         * The weight is 0.36 after this time, and none is left after a second. Of 100, 200 and 400 ms, 100 was best for
         * slowdowns that change eight times a second, and 200 for four times.
         */
        private const val DECAY_MILLIS = 150.0

        /** The sum of a report's weights over the [distanceMillis] after it (or before it, if negative). */
        fun weightMillis(distanceMillis: Double): Double {
            val sum = DECAY_MILLIS * (1 - exp(-abs(distanceMillis) / DECAY_MILLIS))
            return if (distanceMillis < 0) -sum else sum
        }
    }
}
