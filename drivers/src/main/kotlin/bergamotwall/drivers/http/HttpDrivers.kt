package bergamotwall.drivers.http

import bergamotwall.drivers.EngineChunk
import bergamotwall.drivers.EngineDriver
import bergamotwall.drivers.EngineRequest
import bergamotwall.drivers.ServiceDriver
import bergamotwall.drivers.ServiceRequest
import bergamotwall.drivers.ServiceResponse
import bergamotwall.drivers.TargetError
import bergamotwall.drivers.VmListSource
import bergamotwall.model.Jsons
import bergamotwall.model.TargetReport
import bergamotwall.model.VmList
import bergamotwall.model.WeightOrder
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import org.reactivestreams.Publisher
import java.time.Duration

private const val CONNECT_TIMEOUT_MILLIS = 1_000L

/** Timeout of reports, weight orders and VM lists; completions and service calls do not use it. */
private const val CONTROL_TIMEOUT_MILLIS = 1_000L
private const val IDLE_TIMEOUT_SECONDS = 5L

/** Longer than an engine takes to process a long prompt before its first chunk. */
private const val EVENT_IDLE_TIMEOUT_MILLIS = 60_000L

/**
 * HTTP client for targets. It uses cleartext HTTP/1.1, so that cancelling a run closes its connection immediately, and
 * a new connection for each request: responses do not name their request, so on a connection in use again a repeated
 * response could not be told from that to the later call.
 */
public fun targetClient(): WebClient {
    val factory =
        ClientFactory
            .builder()
            .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
            .idleTimeout(Duration.ofSeconds(IDLE_TIMEOUT_SECONDS))
            .maxNumRequestsPerConnection(1)
            .rejectMalformedResponses()
            .build()
    return WebClient
        .builder()
        .factory(factory)
        .responseTimeoutMillis(0)
        .maxResponseLength(0)
        .build()
}

/** Engine driver over [client]. A completion fails if the engine sends no event for [idleTimeoutMillis]. */
public fun EngineDriver(
    client: WebClient,
    idleTimeoutMillis: Long = EVENT_IDLE_TIMEOUT_MILLIS,
): EngineDriver = HttpEngineDriver(client, idleTimeoutMillis)

/** Service driver over [client]. All responses in progress together hold no more than [buffer] allows. */
public fun ServiceDriver(
    client: WebClient,
    buffer: SharedBuffer = SharedBuffer(),
): ServiceDriver = HttpServiceDriver(client, buffer)

/** Source of the VM list served at [address], `host:port`. */
public fun VmListSource(
    client: WebClient,
    address: String,
): VmListSource = HttpVmListSource(client, address)

internal class HttpEngineDriver(private val client: WebClient, private val idleTimeoutMillis: Long) : EngineDriver {
    override suspend fun report(address: String): Result<TargetReport, TargetError> =
        exchange(client, get(address, "/admin/report"), CONTROL_TIMEOUT_MILLIS)
            .andThen { parse(it, TargetReport.serializer()) }

    override suspend fun order(
        address: String,
        order: WeightOrder,
    ): Result<Unit, TargetError> {
        val body = Jsons.wire.encodeToString(WeightOrder.serializer(), order)
        val headers = json(HttpMethod.POST, "h1c://$address/admin/weights").build()
        return exchange(client, HttpRequest.of(headers, HttpData.ofUtf8(body)), CONTROL_TIMEOUT_MILLIS).map { }
    }

    override suspend fun complete(
        address: String,
        request: EngineRequest,
        onChunk: suspend (EngineChunk) -> Unit,
    ): Result<Unit, TargetError> {
        val body =
            CompletionCall(request.model, request.prompt, request.maxTokens, true, request.id, request.resumeFrom)
        val text = Jsons.wire.encodeToString(CompletionCall.serializer(), body)
        val headers = json(HttpMethod.POST, "h1c://$address/v1/completions")
        request.trace?.let { headers.set("traceparent", it) }
        return catchErrors {
            val response = client.execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(text)))
            try {
                stream(response, onChunk)
            } finally {
                response.abort()
            }
        }
    }

    private suspend fun stream(
        response: HttpResponse,
        onChunk: suspend (EngineChunk) -> Unit,
    ): Result<Unit, TargetError> {
        val split = response.split()
        val head = withTimeoutOrNull(idleTimeoutMillis) { split.headers().await() }
        val error = if (head == null) noEvent() else errorOf(head.status().code())
        return if (error == null) receive(split.body(), CompletionEvents(onChunk)) else Err(error)
    }

    private suspend fun receive(
        body: Publisher<HttpData>,
        events: CompletionEvents,
    ): Result<Unit, TargetError> =
        ReceivedParts().use { parts ->
            body.subscribe(parts)
            var error: TargetError? = null
            var open = true
            while (open && error == null) {
                val remainingMillis = idleTimeoutMillis - events.idleMillis
                val received = withTimeoutOrNull(remainingMillis) { parts.receive() }
                val data = received?.getOrNull()
                received?.exceptionOrNull()?.let { throw it }
                when {
                    received == null -> error = noEvent()
                    data == null -> open = false
                    else -> events.add(data)
                }
            }
            when {
                error != null -> Err(error)
                events.completed -> Ok(Unit)
                else -> Err(TargetError.Broken("stream ended without [DONE]"))
            }
        }

    private fun noEvent() = TargetError.Broken("no event for $idleTimeoutMillis ms")
}

internal class HttpServiceDriver(private val client: WebClient, private val buffer: SharedBuffer) : ServiceDriver {
    override suspend fun call(
        address: String,
        request: ServiceRequest,
    ): Result<ServiceResponse, TargetError> {
        val headers = RequestHeaders.builder(HttpMethod.valueOf(request.method), "h1c://$address${request.path}")
        headers.set(HttpHeaderNames.CONTENT_TYPE, request.contentType)
        request.key?.let { headers.set("idempotency-key", it) }
        request.trace?.let { headers.set("traceparent", it) }
        val call = HttpRequest.of(headers.build(), HttpData.ofUtf8(request.body))
        return catchErrors {
            val response = awaitResponse(client.execute(call, boundedResponse), request.timeoutMillis, buffer)
            val type = response.contentType()?.toString() ?: MediaType.PLAIN_TEXT_UTF_8.toString()
            Ok(ServiceResponse(response.status().code(), type, response.contentUtf8()))
        }
    }
}

internal class HttpVmListSource(private val client: WebClient, private val address: String) : VmListSource {
    override suspend fun fetch(): Result<VmList, TargetError> =
        exchange(client, get(address, "/v1/vms"), CONTROL_TIMEOUT_MILLIS).andThen { parse(it, VmList.serializer()) }
}

private fun get(
    address: String,
    path: String,
): HttpRequest = HttpRequest.of(RequestHeaders.of(HttpMethod.GET, "h1c://$address$path"))

private fun json(
    method: HttpMethod,
    path: String,
) = RequestHeaders.builder(method, path).contentType(MediaType.JSON)
