package bergamotwall.runtime

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Metrics of this process, by the Prometheus client. */
public class Metrics {
    private val registry = PrometheusRegistry()

    /** Requests answered, by kind and outcome. */
    public val requests: Counter = counter("bergamotwall_requests", "Requests answered.", "kind", "outcome")

    /** Time to the first token. */
    public val firstTokenSeconds: Histogram =
        Histogram
            .builder()
            .name("bergamotwall_first_token_seconds")
            .help("Time from a request to its first token.")
            .labelNames("class")
            .register(registry)

    /** Tokens passed on, by class. */
    public val tokens: Counter = counter("bergamotwall_tokens", "Tokens passed on.", "class")

    /** Generations cancelled because enough samples were whole or the caller went away. */
    public val cancelled: Counter = counter("bergamotwall_cancelled", "Generations cancelled.", "reason")

    /** Samples replaced because they had become too old. */
    public val expired: Counter = counter("bergamotwall_samples_expired", "Samples replaced as too old.", "trainer")

    /** Retries, by reason. */
    public val retries: Counter = counter("bergamotwall_retries", "Attempts after the first.", "reason")

    /** Calls to the key-value service. */
    public val keyValueCalls: Counter =
        counter("bergamotwall_key_value_calls", "Calls to the key-value service.", "call")

    /** Current values, by name. */
    public val gauges: Gauge =
        Gauge
            .builder()
            .name("bergamotwall_state")
            .help("Current values of this process.")
            .labelNames("name")
            .register(registry)

    /** All metrics in the Prometheus text format. */
    public fun expose(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter(false).write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private fun counter(
        name: String,
        help: String,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name(name)
            .help(help)
            .labelNames(*labels)
            .register(registry)
}
