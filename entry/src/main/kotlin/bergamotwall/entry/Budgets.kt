package bergamotwall.entry

import bergamotwall.decisions.RetryBudget
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/** Retry budgets by name of caller or target, changed by compare-and-set. */
internal class Budgets {
    private val byName = ConcurrentHashMap<String, AtomicReference<RetryBudget>>()

    fun attempted(name: String) {
        budget(name).updateAndGet { it.attempted() }
    }

    /** Takes a retry from the budget of [name]; false if none is left. */
    fun take(name: String): Boolean {
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
