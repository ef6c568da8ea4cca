package bergamotwall.gateway.forwarding

import bergamotwall.decisions.admission.RetryBudget
import bergamotwall.decisions.admission.WithheldHedge
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.ServiceName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/** Budgets and recent durations of all services, from which it is decided when a request is hedged. Thread-safe. */
internal class Hedging(
    val settings: HedgeSettings,
    private val dependencies: TargetDependencies,
) {
    private val services = ConcurrentHashMap<ServiceName, Service>()
    private val hedges = dependencies.metrics.counter("hedges", "Second sends of slow requests.", "service", "outcome")
    private val withheld =
        dependencies.metrics.counter("hedges_withheld", "Slow requests not sent again.", "service", "reason")

    /** Hedging of a request to [service] whose response is due at [deadlineAtMillis]; counts it to the budget. */
    fun request(
        service: ServiceName,
        deadlineAtMillis: Long,
    ): RequestHedging {
        val state = services.computeIfAbsent(service) { Service(it) }
        state.budget.updateAndGet { it.attempted() }
        return RequestHedging(this, state, dependencies, deadlineAtMillis)
    }

    /** What is known of the service [name]. */
    inner class Service(val name: ServiceName) {
        val budget = AtomicReference(RetryBudget(settings.maxExtraPercent / PERCENT, settings.burst))
        val durations = RecentDurations(settings.windowMillis)

        /** Takes an extra send from the budget; returns false if another request took the last one. */
        fun take(): Boolean {
            val taken = budget.getAndUpdate { it.taken() ?: it }.taken() != null
            if (taken) hedges.labelValues(name.value, "sent").inc()
            return taken
        }

        fun won(): Unit = hedges.labelValues(name.value, "won").inc()

        fun withheld(reason: WithheldHedge): Unit = withheld.labelValues(name.value, reason.name.lowercase()).inc()
    }

    private companion object {
        private const val PERCENT = 100.0
    }
}
