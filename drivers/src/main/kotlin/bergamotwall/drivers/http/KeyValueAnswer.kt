package bergamotwall.drivers.http

import bergamotwall.drivers.KeyValueError
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpResponse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await

/** The whole answer to a call of a key-value service, or why there is none; [writes] if the call may change it. */
public suspend fun keyValueAnswer(
    writes: Boolean,
    call: () -> HttpResponse,
): Result<AggregatedHttpResponse, KeyValueError> =
    try {
        Ok(call().aggregate().await())
    } catch (e: CancellationException) {
        throw e
    } catch (e: UnprocessedRequestException) {
        Err(KeyValueError.Unavailable("not reached: ${e.cause?.message}", mayHaveApplied = false))
    } catch (
        @Suppress("TooGenericExceptionCaught") e: Exception,
    ) {
        val detail = "no answer: ${e.javaClass.simpleName} ${e.message.orEmpty()}"
        Err(KeyValueError.Unavailable(detail, mayHaveApplied = writes))
    }
