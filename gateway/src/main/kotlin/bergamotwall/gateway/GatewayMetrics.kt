package bergamotwall.gateway

import bergamotwall.gateway.forwarding.ForwardOutcome
import bergamotwall.runtime.MetricsRegistry
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram

/** Counters and latency histograms of a gateway process. Thread-safe. */
public class GatewayMetrics {
    internal val metrics = MetricsRegistry("bergamotwall_gateway_")
    private val requests = metrics.counter("requests", "Requests of callers that were answered.", "route", "outcome")
    private val submissions = metrics.counter("submissions", "Submissions of batches.", "route", "outcome")
    private val attempts = metrics.counter("item_attempts", "Attempts to run an item of a batch.", "outcome")
    private val orders = metrics.counter("weight_orders", "Orders to load weights.", "outcome")
    private val requestSeconds = histogram("request_seconds", "Time from a request to its answer.", "route")
    private val loadSeconds = histogram("weight_load_seconds", "Time from an accepted order to its version.")
    private val itemWaitSeconds =
        histogram("item_wait_seconds", "Time from when an item could be sent until it was sent.", "route")

    /** Counts the outcome of a request on [route], [millis] after its arrival. */
    public fun requestEnded(
        route: String,
        outcome: ForwardOutcome,
        millis: Long,
    ) {
        requests.labelValues(route, labelOf(outcome)).inc()
        requestSeconds.labelValues(route).observe(millis / MILLIS_PER_SECOND)
    }

    /** Counts the submission of a batch on [route]. */
    public fun submitted(
        route: String,
        outcome: String,
    ): Unit = submissions.labelValues(route, outcome).inc()

    /** Counts an attempt to run an item of a batch. */
    public fun attempted(outcome: String): Unit = attempts.labelValues(outcome).inc()

    /** Records that an item of a batch on [route] was sent [millis] after it could have been sent. */
    public fun itemWaited(
        route: String,
        millis: Long,
    ): Unit = itemWaitSeconds.labelValues(route).observe(millis / MILLIS_PER_SECOND)

    /** Records that an engine loaded weights in [millis]. */
    public fun loaded(millis: Long): Unit = loadSeconds.observe(millis / MILLIS_PER_SECOND)

    /** Counts a weight order sent to an engine. */
    public fun ordered(outcome: String): Unit = orders.labelValues(outcome).inc()

    /** Registers the counter [name] with [labels]. */
    public fun counter(
        name: String,
        help: String,
        vararg labels: String,
    ): Counter = metrics.counter(name, help, *labels)

    /** Registers the gauge [name], whose value is computed by [value] at each scrape. */
    public fun gauge(
        name: String,
        help: String,
        value: () -> Number,
    ) {
        GaugeWithCallback
            .builder()
            .name(metrics.prefix + name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(metrics.registry)
    }

    /** Registers the histogram [name] of seconds with [labels]. */
    public fun histogram(
        name: String,
        help: String,
        vararg labels: String,
    ): Histogram =
        Histogram
            .builder()
            .name(metrics.prefix + name)
            .help(help)
            .labelNames(*labels)
            .classicOnly()
            .classicExponentialUpperBounds(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKETS)
            .register(metrics.registry)

    /** All metrics in the Prometheus text format. */
    public fun expose(): String = metrics.expose()

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000.0

        /**
         * Buckets range from 5 ms, a fast target in the same data centre, to 13 s, the longest deadline that callers
         * set.
         */
        private const val FIRST_BUCKET_SECONDS = 0.005
        private const val BUCKET_FACTOR = 2.4
        private const val BUCKETS = 10
    }
}

private fun labelOf(outcome: ForwardOutcome): String =
    when (outcome) {
        is ForwardOutcome.Completed -> "status_${outcome.head.status}"
        is ForwardOutcome.Streaming -> "streaming"
        is ForwardOutcome.NotRun -> "not_run"
        is ForwardOutcome.Failed -> "failed"
        is ForwardOutcome.TimedOut -> "timed_out"
    }
