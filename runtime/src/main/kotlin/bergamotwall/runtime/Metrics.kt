package bergamotwall.runtime

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram

/** Prometheus metrics of this process. */
public class Metrics {
    private val metricRegistry = MetricsRegistry("bergamotwall_")

    /** Requests that got a response, by kind and outcome. */
    public val requests: Counter = metricRegistry.counter("requests", "Requests answered.", "kind", "outcome")

    /** Time from a request to its first token, by priority class. */
    public val firstTokenSeconds: Histogram =
        Histogram
            .builder()
            .name("bergamotwall_first_token_seconds")
            .help("Time from a request to its first token.")
            .labelNames("class")
            .register(metricRegistry.registry)

    /** Tokens relayed to callers and trainers, by priority class. */
    public val tokens: Counter = metricRegistry.counter("tokens", "Tokens passed on.", "class")

    /** Generations cancelled because enough samples were complete or the caller disconnected, by reason. */
    public val cancelled: Counter = metricRegistry.counter("cancelled", "Generations cancelled.", "reason")

    /** Samples replaced because their weight version had become too old, by trainer. */
    public val expired: Counter = metricRegistry.counter("samples_expired", "Samples replaced as too old.", "trainer")

    /** Calls that were to score a sample, by outcome. */
    public val rewards: Counter = metricRegistry.counter("rewards", "Calls to rewarders.", "outcome")

    /** Attempts after the first, by the outcome that caused them. */
    public val retries: Counter = metricRegistry.counter("retries", "Attempts after the first.", "reason")

    /** Calls to the key-value service, by operation. */
    public val keyValueCalls: Counter =
        metricRegistry.counter("key_value_calls", "Calls to the key-value service.", "call")

    /** Current values, by name. */
    public val gauges: Gauge =
        Gauge
            .builder()
            .name("bergamotwall_state")
            .help("Current values of this process.")
            .labelNames("name")
            .register(metricRegistry.registry)

    /** All metrics in the Prometheus text format. */
    public fun expose(): String = metricRegistry.expose()
}
