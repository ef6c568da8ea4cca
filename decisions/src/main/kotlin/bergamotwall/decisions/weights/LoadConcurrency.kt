package bergamotwall.decisions.weights

/**
 * Limits how many engines load weights at the same time, by what the weight store turns out to bear. Not thread-safe.
 *
 * Load pattern: trainers name versions about as fast as the engines can load them. A fixed limit fits one size of
 * fleet: in a larger one most engines never hold a version that a step allows, and the steps wait for the few that do.
 * Loads above what the store bears only make each other slower.
 *
 * The limit doubles with each window of loads until they become slower, then falls, and grows by one a window again
 * (additive increase, multiplicative decrease with slow start, on delays as in TCP Vegas: Brakmo and Peterson, 1995).
 * It grows only while loads wait for it.
 */
public class LoadConcurrency {
    private var limit = MIN_LIMIT
    private var slowStart = true
    private var window = 0L
    private var windowMillis = 0L
    private var windowLoads = 0
    private var withheld = false
    private var fastestMillis = Double.MAX_VALUE
    private var slowLimit = Int.MAX_VALUE
    private var windowsUntilRetry = 0

    /** Maximum number of loads in progress in a service of [engines] engines. */
    public fun limit(engines: Int): Int {
        limit = minOf(limit, maxOf(MIN_LIMIT, engines / MIN_SERVING_DIVISOR))
        return limit
    }

    /** The current window. A load belongs to the window in which it starts. */
    public fun currentWindow(): Long = window

    /** Records that loads had to wait because the limit was reached. */
    public fun loadsWithheld() {
        withheld = true
    }

    /** Records that a load that started in [startWindow] took [tookMillis]. */
    public fun loadEnded(
        startWindow: Long,
        tookMillis: Long,
    ) {
        // Earlier loads ran beside another number of loads.
        if (startWindow != window) return
        windowMillis += tookMillis
        windowLoads++
        if (windowLoads >= maxOf(limit / 2, MIN_WINDOW_LOADS)) endWindow()
    }

    private fun endWindow() {
        val meanMillis = windowMillis.toDouble() / windowLoads
        fastestMillis = minOf(fastestMillis * BASELINE_DRIFT, meanMillis)
        windowsUntilRetry--
        when {
            meanMillis > fastestMillis * SLOW_FACTOR -> decrease()
            withheld -> increase()
        }
        window++
        windowMillis = 0
        windowLoads = 0
        withheld = false
    }

    private fun decrease() {
        slowStart = false
        slowLimit = limit
        windowsUntilRetry = RETRY_WINDOWS
        limit = maxOf(MIN_LIMIT, limit * DECREASE_PERCENT / PERCENT)
    }

    private fun increase() {
        val next = if (slowStart) limit * 2 else limit + 1
        if (next < slowLimit || windowsUntilRetry <= 0) limit = next
    }

    private companion object {
        /** One load after another would leave the store idle between a load and the order for the next one. */
        private const val MIN_LIMIT = 2

        /** At least half of the engines go on serving. */
        private const val MIN_SERVING_DIVISOR = 2

        /** Fewer loads are too few to tell slow ones from late registrations. */
        private const val MIN_WINDOW_LOADS = 4

        /** Loads that take this much longer than the fastest window are slowed by each other. */
        private const val SLOW_FACTOR = 1.25

        /** The fastest window counts for less over time, as the store may have become slower. */
        private const val BASELINE_DRIFT = 1.001
        private const val DECREASE_PERCENT = 70
        private const val PERCENT = 100

        /** Windows for which a limit that slowed the loads is not tried again. */
        private const val RETRY_WINDOWS = 16
    }
}
