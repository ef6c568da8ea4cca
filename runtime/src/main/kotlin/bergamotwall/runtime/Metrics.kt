package bergamotwall.runtime

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram

/** Metrics of this process, by the Prometheus client. */
public class Metrics {
    private val page = MetricsPage("bergamotwall_")

    /** Requests answered, by kind and outcome. */
    public val requests: Counter = page.counter("requests", "Requests answered.", "kind", "outcome")

    /** Time to the first token. */
    public val firstTokenSeconds: Histogram =
        Histogram
            .builder()
            .name("bergamotwall_first_token_seconds")
            .help("Time from a request to its first token.")
            .labelNames("class")
            .register(page.registry)

    /** Tokens passed on, by class. */
    public val tokens: Counter = page.counter("tokens", "Tokens passed on.", "class")

    /** Generations cancelled because enough samples were whole or the caller went away. */
    public val cancelled: Counter = page.counter("cancelled", "Generations cancelled.", "reason")

    /** Samples replaced because they had become too old. */
    public val expired: Counter = page.counter("samples_expired", "Samples replaced as too old.", "trainer")

    /** Retries, by reason. */
    public val retries: Counter = page.counter("retries", "Attempts after the first.", "reason")

    /** Calls to the key-value service. */
    public val keyValueCalls: Counter =
        page.counter("key_value_calls", "Calls to the key-value service.", "call")

    /** Current values, by name. */
    public val gauges: Gauge =
        Gauge
            .builder()
            .name("bergamotwall_state")
            .help("Current values of this process.")
            .labelNames("name")
            .register(page.registry)

    /** All metrics in the Prometheus text format. */
    public fun expose(): String = page.expose()
}
