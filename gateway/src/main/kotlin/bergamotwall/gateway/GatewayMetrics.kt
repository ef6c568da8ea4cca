package bergamotwall.gateway

import bergamotwall.gateway.forwarding.ForwardOutcome
import bergamotwall.runtime.MetricsPage
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram

/** Counters and latency histograms of one process of the gateway. Safe for many threads. */
public class GatewayMetrics {
    private val page = MetricsPage("bergamotwall_gateway_")
    private val requests = page.counter("requests", "Requests of callers that were answered.", "route", "outcome")
    private val submissions = page.counter("submissions", "Submissions of batches.", "route", "outcome")
    private val attempts = page.counter("item_attempts", "Attempts to run an item of a batch.", "outcome")
    private val orders = page.counter("weight_orders", "Orders to load weights.", "outcome")
    private val requestSeconds =
        Histogram
            .builder()
            .name("${page.prefix}request_seconds")
            .help("Time from a request to its answer.")
            .labelNames("route")
            .classicOnly()
            .classicExponentialUpperBounds(FIRST_BOUND_SECONDS, BOUND_FACTOR, BOUNDS)
            .register(page.registry)

    /** Counts the answer to a request on [route], [millis] after it came. */
    public fun answered(
        route: String,
        outcome: ForwardOutcome,
        millis: Long,
    ) {
        requests.labelValues(route, labelOf(outcome)).inc()
        requestSeconds.labelValues(route).observe(millis / MILLIS_PER_SECOND)
    }

    /** Counts a submission on [route]. */
    public fun submitted(
        route: String,
        outcome: String,
    ): Unit = submissions.labelValues(route, outcome).inc()

    /** Counts an attempt to run an item. */
    public fun attempted(outcome: String): Unit = attempts.labelValues(outcome).inc()

    /** Counts an order to load weights. */
    public fun ordered(outcome: String): Unit = orders.labelValues(outcome).inc()

    /** Shows what [value] returns at each scrape as the gauge [name]. */
    public fun gauge(
        name: String,
        help: String,
        value: () -> Number,
    ) {
        GaugeWithCallback
            .builder()
            .name(page.prefix + name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(page.registry)
    }

    /** All metrics in the Prometheus text format. */
    public fun expose(): String = page.expose()

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000.0

        /** Buckets from a fast target beside the entry, 5 ms, to the longest deadline that callers state, 13 s. */
        private const val FIRST_BOUND_SECONDS = 0.005
        private const val BOUND_FACTOR = 2.4
        private const val BOUNDS = 10
    }
}

private fun labelOf(outcome: ForwardOutcome): String =
    when (outcome) {
        is ForwardOutcome.Answered -> "status_${outcome.head.status}"
        is ForwardOutcome.Streaming -> "streaming"
        is ForwardOutcome.NotRun -> "not_run"
        is ForwardOutcome.Failed -> "failed"
        is ForwardOutcome.TimedOut -> "timed_out"
    }
