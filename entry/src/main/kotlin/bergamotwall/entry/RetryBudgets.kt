package bergamotwall.entry

import bergamotwall.decisions.admission.RetryBudget
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/** Retry budgets by caller name, updated by compare-and-set. */
internal class RetryBudgets {
    private val byName = ConcurrentHashMap<String, AtomicReference<RetryBudget>>()

    /** Records a first attempt, which adds to the budget of [name]. */
    fun recordFirstAttempt(name: String) {
        budget(name).updateAndGet { it.attempted() }
    }

    /** Takes one retry from the budget of [name]; false if none is left. */
    fun tryTake(name: String): Boolean {
        val budget = budget(name)
        while (true) {
            val current = budget.get()
            val next = current.taken() ?: return false
            if (budget.compareAndSet(current, next)) return true
        }
    }

    private fun budget(name: String): AtomicReference<RetryBudget> =
        byName.computeIfAbsent(name) { AtomicReference(RetryBudget(RATIO, BURST)) }

    private companion object {
        private const val RATIO = 0.2
        private const val BURST = 20.0
    }
}
