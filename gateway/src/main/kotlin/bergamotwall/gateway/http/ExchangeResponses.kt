package bergamotwall.gateway.http

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger
import java.io.IOException

/** Headers of a response that passes on [head]. */
public fun responseHeadersOf(head: ResponsePart.Head): ResponseHeaders {
    val builder = ResponseHeaders.builder(HttpStatus.valueOf(head.status))
    head.headers.filterNot { isHopByHop(it.name) }.forEach { (name, value): Header -> builder.add(name, value) }
    return builder.build()
}

/**
 * Response that passes on [head] and the body that follows on [exchange]. It is reset if the body breaks, ends inside
 * an event, or does not end within [timeoutMillis]. If the receiver closes it, the exchange is cancelled.
 */
public fun streamedResponse(
    head: ResponsePart.Head,
    exchange: TargetExchange,
    scope: CoroutineScope,
    timeoutMillis: Long = Long.MAX_VALUE,
): HttpResponse {
    val writer = HttpResponse.streaming()
    writer.write(responseHeadersOf(head))
    writer.whenComplete().whenComplete { _, _ -> exchange.cancel() }
    scope.launch {
        if (withTimeoutOrNull(timeoutMillis) { copyBody(head, exchange, writer) } == null) {
            writer.close(IOException("the stream did not end by the deadline"))
        }
    }
    return writer
}

/** Copies the body no faster than it is read, until it ends or the receiver closes the response. */
private suspend fun copyBody(
    head: ResponsePart.Head,
    exchange: TargetExchange,
    writer: HttpResponseWriter,
) {
    val type = head.headers.valueOf("content-type").orEmpty()
    val boundary = EventBoundary().takeIf { type.startsWith(EVENT_STREAM, ignoreCase = true) }
    while (writer.isOpen) {
        when (val part = exchange.next()) {
            is ResponsePart.Body -> {
                boundary?.add(part.bytes)
                if (writer.tryWrite(HttpData.wrap(part.bytes))) awaitConsumed(writer)
            }
            is ResponsePart.Broken -> writer.close(IOException(part.reason))
            is ResponsePart.End ->
                if (boundary?.insideEvent == true) {
                    // Without a length, the end of a connection counts as the end of the response.
                    writer.close(IOException("the stream ended inside an event"))
                } else {
                    writer.close()
                }
            is ResponsePart.Head, null -> writer.close(IOException("the response did not end"))
        }
    }
}

private const val EVENT_STREAM = "text/event-stream"

private suspend fun awaitConsumed(writer: HttpResponseWriter) {
    try {
        writer.whenConsumed().await()
    } catch (e: CancellationException) {
        throw e
    } catch (
        @Suppress("TooGenericExceptionCaught") e: Exception,
    ) {
        Logger.debug("event=stream_closed_by_receiver cause=\"{}\"", e.message)
    }
}
