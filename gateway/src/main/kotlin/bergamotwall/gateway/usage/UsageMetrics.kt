package bergamotwall.gateway.usage

import bergamotwall.gateway.GatewayMetrics

/** Metrics of usage reports; [unsent] returns the number of decided reports that are not accepted yet. */
internal class UsageMetrics(
    metrics: GatewayMetrics,
    unsent: () -> Int,
) {
    private val starts = metrics.counter("usage_starts", "Starts of callers' runs that this process recorded.")
    private val lateStarts =
        metrics.counter("usage_late_starts", "Starts that the leader received after it had decided their window.")
    private val windows = metrics.counter("usage_windows", "Windows that the leader decided or skipped.", "outcome")
    private val reports = metrics.counter("usage_reports", "Calls of the platform's API for reports.", "outcome")

    init {
        metrics.gauge("usage_unsent_reports", "Decided reports that the platform has not accepted yet.", unsent)
    }

    fun started(): Unit = starts.inc()

    fun startedLate(): Unit = lateStarts.inc()

    fun windowEnded(outcome: String): Unit = windows.labelValues(outcome).inc()

    fun sent(outcome: UsageOutcome): Unit = reports.labelValues(outcome.name.lowercase()).inc()
}
