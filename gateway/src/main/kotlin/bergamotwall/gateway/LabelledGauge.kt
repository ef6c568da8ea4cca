package bergamotwall.gateway

import io.prometheus.metrics.core.metrics.GaugeWithCallback

/** Registers the gauge [name] with [label], whose [values] by the value of the label are computed at each scrape. */
internal fun GatewayMetrics.labelledGauge(
    name: String,
    help: String,
    label: String,
    values: () -> Map<String, Number>,
): Unit = labelledGauge(name, help, listOf(label)) { values().mapKeys { listOf(it.key) } }

/** Registers the gauge [name] with [labels], whose [values] by the values of the labels are computed at each scrape. */
@Suppress("SpreadOperator") // the library takes the names and values of labels as varargs
internal fun GatewayMetrics.labelledGauge(
    name: String,
    help: String,
    labels: List<String>,
    values: () -> Map<List<String>, Number>,
) {
    GaugeWithCallback
        .builder()
        .name(metrics.prefix + name)
        .help(help)
        .labelNames(*labels.toTypedArray())
        .callback { callback ->
            values().forEach { (labelValues, number) -> callback.call(number.toDouble(), *labelValues.toTypedArray()) }
        }
        .register(metrics.registry)
}
