package bergamotwall.decisions

import bergamotwall.model.PriorityClass
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.sqrt

/**
 * How much of the pooled window is kept free of training work, following application demand: its mean concurrency and
 * two standard deviations of a Poisson arrival stream, and one more. Not thread-safe.
 */
internal class Headroom {
    private val concurrency = Ewma(ALPHA)
    private val inFlight = IntArray(PriorityClass.entries.size)

    fun granted(priorityClass: PriorityClass) {
        inFlight[priorityClass.ordinal]++
        observe()
    }

    fun released(priorityClass: PriorityClass) {
        inFlight[priorityClass.ordinal]--
        observe()
    }

    /** Whether work of [priorityClass] may take one more of [capacity] pooled slots. */
    fun admits(
        priorityClass: PriorityClass,
        capacity: Int,
    ): Boolean {
        if (priorityClass == PriorityClass.APPLICATION) return true
        val application = inFlight[PriorityClass.APPLICATION.ordinal]
        val others = inFlight.sum() - application
        return others < capacity - max(application, reserved(capacity))
    }

    fun reserved(capacity: Int): Int {
        val mean = concurrency.value
        val wanted = ceil(mean + DEVIATIONS * sqrt(mean)).toInt() + 1
        return wanted.coerceAtMost(max(0, capacity - 1))
    }

    private fun observe() {
        concurrency.add(inFlight[PriorityClass.APPLICATION.ordinal].toDouble())
    }

    private companion object {
        private const val ALPHA = 0.02
        private const val DEVIATIONS = 2.0
    }
}
