package bergamotwall.runtime

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Registers metrics whose names start with [prefix] and renders them for scraping. */
public class MetricsRegistry(public val prefix: String) {
    /** Registry for metrics other than counters. */
    public val registry: PrometheusRegistry = PrometheusRegistry()

    /** Registers a counter. */
    public fun counter(
        name: String,
        help: String,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name(prefix + name)
            .help(help)
            .labelNames(*labels)
            .register(registry)

    /** All metrics in the Prometheus text format. */
    public fun expose(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter(false).write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }
}
