package bergamotwall.gateway.scaling

import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.labelledGauge

/** Numbers of targets of a service in a data centre. */
internal data class ScalingNumbers(val registered: Int, val ordered: Int, val needed: Int)

/** Metrics of ordering targets; [numbers] returns those of the leader, and none at other processes. Thread-safe. */
internal class ScalingMetrics(
    metrics: GatewayMetrics,
    numbers: () -> Map<ScalingSubject, ScalingNumbers>,
) {
    private val calls = metrics.counter("scaling_calls", "Calls of the platform's API that orders targets.", "outcome")

    init {
        val gauge = { name: String, help: String, value: (ScalingNumbers) -> Int ->
            metrics.labelledGauge(name, help, listOf("service", "data_centre")) {
                numbers().entries.associate { (subject, of) ->
                    listOf(subject.service.value, subject.dataCentre.value) to value(of)
                }
            }
        }
        gauge("scaling_registered_targets", "Targets that are registered and don't leave.") { it.registered }
        gauge("scaling_ordered_targets", "Targets ordered last; those registered if none were ordered.") { it.ordered }
        gauge("scaling_needed_targets", "Targets that the last decision found to be needed.") { it.needed }
    }

    fun called(outcome: ScalingOutcome): Unit = calls.labelValues(outcome.name.lowercase()).inc()
}
