package bergamotwall.decisions.admission

import bergamotwall.decisions.Ewma
import bergamotwall.model.PriorityClass
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.sqrt

/**
 * Part of the pooled capacity that is kept free of training work. It follows the demand of applications: their mean
 * concurrency, two standard deviations of a Poisson arrival process, and one more slot. Not thread-safe.
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

    /** Whether a request of [priorityClass] may take one more of [capacity] pooled slots. */
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
