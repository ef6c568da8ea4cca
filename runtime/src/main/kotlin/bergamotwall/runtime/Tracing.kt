package bergamotwall.runtime

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.context.propagation.TextMapSetter
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import java.util.concurrent.atomic.AtomicReference

/** Span of one hop of a request, and the `traceparent` to pass to the next hop. */
public class Hop internal constructor(private val span: Span) {
    /** W3C `traceparent` of this hop. */
    public val traceparent: String = traceparentOf(span)

    /** Marks the hop as failed for [reason]. */
    public fun failed(reason: String) {
        span.setStatus(StatusCode.ERROR, reason)
    }

    /** Adds the attribute [name] to the span. */
    public fun addAttribute(
        name: String,
        value: String,
    ) {
        span.setAttribute(name, value)
    }
}

/** OpenTelemetry spans, one for each hop. */
public class Tracing internal constructor(private val provider: SdkTracerProvider) : AutoCloseable {
    private val tracer: Tracer = provider.get("bergamotwall")

    /** Runs [block] in a span [name] under [parent], a W3C `traceparent`, or in a root span if that is null. */
    public suspend fun <T> hop(
        name: String,
        parent: String?,
        block: suspend (Hop) -> T,
    ): T {
        val span =
            tracer
                .spanBuilder(name)
                .setSpanKind(SpanKind.INTERNAL)
                .setParent(contextOf(parent))
                .startSpan()
        try {
            return block(Hop(span))
        } finally {
            span.end()
        }
    }

    override fun close(): Unit = provider.close()
}

/** Tracing of the process [name]; spans are exported to the OTLP URL [endpoint], or discarded if it is null. */
public fun Tracing(
    name: String,
    endpoint: String?,
): Tracing = Tracing(name, endpoint?.let { OtlpHttpSpanExporter.builder().setEndpoint(it).build() })

internal fun Tracing(
    name: String,
    exporter: SpanExporter?,
): Tracing {
    val provider = SdkTracerProvider.builder().setResource(Resource.builder().put("service.name", name).build())
    exporter?.let { provider.addSpanProcessor(BatchSpanProcessor.builder(it).build()) }
    return Tracing(provider.build())
}

private val propagator = W3CTraceContextPropagator.getInstance()

private object Getter : TextMapGetter<String> {
    override fun keys(carrier: String): Iterable<String> = listOf("traceparent")

    override fun get(
        carrier: String?,
        key: String,
    ): String? = carrier.takeIf { key == "traceparent" }
}

private object Setter : TextMapSetter<AtomicReference<String>> {
    override fun set(
        carrier: AtomicReference<String>?,
        key: String,
        value: String,
    ) {
        if (key == "traceparent") carrier?.set(value)
    }
}

private fun contextOf(parent: String?): Context =
    if (parent == null) Context.root() else propagator.extract(Context.root(), parent, Getter)

private fun traceparentOf(span: Span): String {
    val carrier = AtomicReference("")
    propagator.inject(Context.root().with(span), carrier, Setter)
    return carrier.get()
}
