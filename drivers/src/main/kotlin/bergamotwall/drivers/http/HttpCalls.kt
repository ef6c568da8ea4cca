package bergamotwall.drivers.http

import bergamotwall.drivers.TargetError
import bergamotwall.model.Jsons
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.future.await
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import java.util.concurrent.TimeUnit

/** Limits a response that is kept in memory as a whole. */
internal val boundedResponse: RequestOptions = RequestOptions.builder().maxResponseLength(MAX_RESPONSE_BYTES).build()

private const val MAX_RESPONSE_BYTES = 33_554_432L

/** What all responses that are kept in memory as a whole hold together. */
private val responses = SharedBuffer()

private const val OK_STATUS = 200
private const val TOO_MANY_REQUESTS = 429
private const val SERVICE_UNAVAILABLE = 503
private const val CLIENT_ERROR = 400
private const val SERVER_ERROR = 500

internal suspend fun exchange(
    client: WebClient,
    request: HttpRequest,
    timeoutMillis: Long,
): Result<AggregatedHttpResponse, TargetError> =
    catchErrors {
        val response = awaitResponse(client.execute(request, boundedResponse), timeoutMillis)
        val error = errorOf(response.status().code())
        if (error == null) Ok(response) else Err(error)
    }

/**
 * Awaits the complete response for up to [timeoutMillis], then closes the exchange. Fails if the response is larger
 * than its share of [buffer].
 */
internal suspend fun awaitResponse(
    response: HttpResponse,
    timeoutMillis: Long,
    buffer: SharedBuffer = responses,
): AggregatedHttpResponse {
    val share = BufferShare(buffer)
    val collector = ResponseCollector(share)
    // The default executor is the event loop of the connection, which also pauses and resumes reading.
    response.subscribe(collector)
    try {
        return collector.response.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).await()
    } finally {
        response.abort()
        share.release()
    }
}

/** Error for [status], or null if the request succeeded. */
internal fun errorOf(status: Int): TargetError? =
    when {
        status == OK_STATUS -> null
        status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE -> TargetError.NotStarted("status $status")
        status in CLIENT_ERROR until SERVER_ERROR -> TargetError.Rejected(status, "status $status")
        else -> TargetError.Broken("status $status")
    }

internal fun <T> parse(
    response: AggregatedHttpResponse,
    deserializer: DeserializationStrategy<T>,
): Result<T, TargetError> =
    try {
        Ok(Jsons.wire.decodeFromString(deserializer, response.contentUtf8()))
    } catch (e: SerializationException) {
        Err(TargetError.Broken("malformed answer: ${e.message}"))
    }

/** Converts exceptions of the HTTP client to [TargetError]; rethrows cancellation of the calling coroutine. */
internal suspend fun <T> catchErrors(block: suspend () -> Result<T, TargetError>): Result<T, TargetError> =
    try {
        block()
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        Err(TargetError.Broken("response cancelled: ${e.message}"))
    } catch (e: UnprocessedRequestException) {
        Err(TargetError.NotStarted("request not processed: ${e.cause?.message}"))
    } catch (
        @Suppress("TooGenericExceptionCaught") e: Exception,
    ) {
        Err(TargetError.Broken("request failed: ${e.message}"))
    }
