package bergamotwall.decisions.admission

import bergamotwall.decisions.Ewma

/** Estimates the waiting time of a new request from recent run times. Not thread-safe. */
internal class WaitEstimator {
    private val runMillis = Ewma(ALPHA)
    private val waitMillis = Ewma(ALPHA)

    fun runEnded(durationMillis: Long): Unit = runMillis.add(durationMillis.toDouble())

    fun granted(waitedMillis: Long): Unit = waitMillis.add(waitedMillis.toDouble())

    /** Expected wait behind [ahead] requests for one of [capacity] slots; zero before the first run has ended. */
    fun expectedMillis(
        ahead: Int,
        capacity: Int,
    ): Long {
        if (ahead == 0) return 0
        return (runMillis.value * ahead / maxOf(1, capacity)).toLong()
    }

    private companion object {
        private const val ALPHA = 0.1
    }
}
