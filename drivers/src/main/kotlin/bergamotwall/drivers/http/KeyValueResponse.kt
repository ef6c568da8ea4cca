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

/** Executes [call] to the key-value service and awaits its complete response; set [writes] if the call can write. */
public suspend fun keyValueResponse(
    writes: Boolean,
    call: () -> HttpResponse,
): Result<AggregatedHttpResponse, KeyValueError> =
    try {
        Ok(call().aggregate().await())
    } catch (e: CancellationException) {
        throw e
    } catch (e: UnprocessedRequestException) {
        Err(KeyValueError.Unavailable("request not processed: ${e.cause?.message}", mayHaveApplied = false))
    } catch (
        @Suppress("TooGenericExceptionCaught") e: Exception,
    ) {
        val detail = "no response: ${e.javaClass.simpleName} ${e.message.orEmpty()}"
        Err(KeyValueError.Unavailable(detail, mayHaveApplied = writes))
    }
