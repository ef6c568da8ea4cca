package bergamotwall.gateway.intake

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaders
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.stream.SubscriptionOption
import kotlinx.coroutines.future.await
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.util.concurrent.CancellationException
import java.util.concurrent.CompletableFuture

/**
 * The request with its whole body, which is held once: outside the heap while it arrives, however small its parts are,
 * then in one array.
 */
public suspend fun HttpRequest.readWhole(): AggregatedHttpRequest = receive().use { it.whole() }

/** The request once its whole body has arrived, which is held outside the heap until the result is closed. */
public suspend fun HttpRequest.receive(): ReceivedRequest {
    val body = BodySubscriber(this)
    subscribe(body, SubscriptionOption.WITH_POOLED_OBJECTS)
    try {
        return body.whole.await()
    } catch (e: CancellationException) {
        // The request may have become complete at the same time.
        body.whole.thenAccept { it.close() }
        throw e
    }
}

/** A request whose body is held outside the heap. */
public class ReceivedRequest internal constructor(
    private val headers: RequestHeaders,
    private val trailers: HttpHeaders,
    private val bytes: CollectedBytes,
) : AutoCloseable {
    /** Number of bytes of the body. */
    public val length: Int get() = bytes.size

    /** The request without its body. */
    public fun head(): AggregatedHttpRequest = AggregatedHttpRequest.of(headers, HttpData.empty(), trailers)

    /** The request with its body, which is not held outside the heap any more. */
    public fun whole(): AggregatedHttpRequest =
        AggregatedHttpRequest.of(headers, HttpData.wrap(bytes.take()), trailers)

    /** The [length] bytes of the body from [start] on, each as one character. */
    public fun text(
        start: Int,
        length: Int,
    ): String = bytes.text(start, length)

    override fun close(): Unit = bytes.clear()
}

private class BodySubscriber(private val request: HttpRequest) : Subscriber<HttpObject> {
    private val bytes = CollectedBytes()
    private var trailers = HttpHeaders.of()
    val whole = CompletableFuture<ReceivedRequest>()

    override fun onSubscribe(subscription: Subscription): Unit = subscription.request(Long.MAX_VALUE)

    override fun onNext(part: HttpObject) {
        when (part) {
            is HttpData -> part.use { bytes.add(it.byteBuf()) }
            is HttpHeaders -> trailers = part
        }
    }

    override fun onError(cause: Throwable) {
        bytes.clear()
        whole.completeExceptionally(cause)
    }

    override fun onComplete() {
        val received = ReceivedRequest(request.headers(), trailers, bytes)
        if (!whole.complete(received)) received.close()
    }
}
