package bergamotwall.drivers.http

import bergamotwall.drivers.TargetError
import bergamotwall.model.Jsons
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
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
    guarded {
        val answer = withDeadline(client.execute(request), timeoutMillis)
        val refusal = refusal(answer.status().code())
        if (refusal == null) Ok(answer) else Err(refusal)
    }

internal suspend fun withDeadline(
    response: HttpResponse,
    timeoutMillis: Long,
): AggregatedHttpResponse {
    val answer = response.aggregate().orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
    try {
        return answer.await()
    } finally {
        response.abort()
    }
}

internal fun refusal(status: Int): TargetError? =
    when {
        status == OK_STATUS -> null
        status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE -> TargetError.NotStarted("status $status")
        status in CLIENT_ERROR until SERVER_ERROR -> TargetError.Rejected(status, "status $status")
        else -> TargetError.Broken("status $status")
    }

internal fun <T> parse(
    answer: AggregatedHttpResponse,
    format: DeserializationStrategy<T>,
): Result<T, TargetError> =
    try {
        Ok(Jsons.wire.decodeFromString(format, answer.contentUtf8()))
    } catch (e: SerializationException) {
        Err(TargetError.Broken("malformed answer: ${e.message}"))
    }

/** Turns what the HTTP client throws into errors as values; cancellation of the caller's coroutine passes. */
internal suspend fun <T> guarded(block: suspend () -> Result<T, TargetError>): Result<T, TargetError> =
    try {
        block()
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        Err(TargetError.Broken("cancelled by the target: ${e.message}"))
    } catch (e: UnprocessedRequestException) {
        Err(TargetError.NotStarted("not reached: ${e.cause?.message}"))
    } catch (
        @Suppress("TooGenericExceptionCaught") e: Exception,
    ) {
        Err(TargetError.Broken("broken off: ${e.message}"))
    }
