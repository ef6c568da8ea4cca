package bergamotwall.gateway.rewards

import bergamotwall.gateway.GatewayMetrics

/** Counts the reward calls of a process in [metrics]. Thread-safe. */
internal class RewardMetrics(metrics: GatewayMetrics) {
    private val calls = metrics.counter("reward_calls", "Tries of reward calls of items.", "route", "outcome")
    private val callSeconds =
        metrics.histogram("reward_call_seconds", "Duration of a try of a reward call.", "route")

    /** Counts a try of a reward call over [route], which ended with [outcome] after [millis]. */
    fun ended(
        route: String,
        outcome: String,
        millis: Long,
    ) {
        calls.labelValues(route, outcome).inc()
        callSeconds.labelValues(route).observe(millis / MILLIS_PER_SECOND)
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
