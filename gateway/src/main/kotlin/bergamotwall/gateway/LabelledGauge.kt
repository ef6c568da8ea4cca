package bergamotwall.gateway

import io.prometheus.metrics.core.metrics.GaugeWithCallback

/** Registers the gauge [name] with [label], whose [values] by the value of the label are computed at each scrape. */
internal fun GatewayMetrics.labelledGauge(
    name: String,
    help: String,
    label: String,
    values: () -> Map<String, Number>,
) {
    GaugeWithCallback
        .builder()
        .name(metrics.prefix + name)
        .help(help)
        .labelNames(label)
        .callback { callback -> values().forEach { (value, number) -> callback.call(number.toDouble(), value) } }
        .register(metrics.registry)
}
