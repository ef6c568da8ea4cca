package bergamotwall.runtime

import bergamotwall.model.Jsons
import bergamotwall.model.Problem
import bergamotwall.model.ProblemDocument
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.serialization.SerializationStrategy

private const val MILLIS_PER_SECOND = 1_000L

/** Handles one request whose body was received completely. */
public fun interface AggregatedHandler {
    /** Returns the response to [request]. Cancelled when the caller disconnects. */
    public suspend fun handle(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse
}

/** Response that carries [problem] as `application/problem+json`. */
public fun problemResponse(problem: Problem): HttpResponse {
    val body = Jsons.wire.encodeToString(ProblemDocument.serializer(), ProblemDocument(problem))
    val headers =
        ResponseHeaders
            .builder(HttpStatus.valueOf(problem.kind.status))
            .contentType(MediaType.parse("application/problem+json"))
    problem.retryAfterMillis?.let {
        headers.set(HttpHeaderNames.RETRY_AFTER, ((it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).toString())
    }
    return HttpResponse.of(headers.build(), HttpData.ofUtf8(body))
}

/** Response that carries [value] as JSON. */
public fun <T> jsonResponse(
    format: SerializationStrategy<T>,
    value: T,
    status: HttpStatus = HttpStatus.OK,
): HttpResponse = HttpResponse.of(status, MediaType.JSON_UTF_8, Jsons.wire.encodeToString(format, value))

/** Service that aggregates the request and runs [handler] in [scope]; cancels the handler if the caller disconnects. */
public fun aggregatedService(
    scope: CoroutineScope,
    handler: AggregatedHandler,
): HttpService =
    HttpService { context, request ->
        val job = scope.future { handler.handle(context, request.aggregate().await()) }
        context.whenRequestCancelling().thenAccept { job.cancel(true) }
        HttpResponse.of(job)
    }

/** Adds what all processes share: the health, readiness (by [ready]) and metrics routes, and the error handler. */
public fun ServerBuilder.withOperationalRoutes(
    metrics: Metrics,
    ready: () -> Boolean,
): ServerBuilder =
    service("/healthz") { _, _ -> HttpResponse.of("ok") }
        .service("/readyz") { _, _ ->
            if (ready()) HttpResponse.of("ready") else HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)
        }.service("/metrics") { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, metrics.expose()) }
        .errorHandler(ProblemErrorHandler)
