package bergamotwall.gateway.intake

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaders
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.stream.SubscriptionOption
import kotlinx.coroutines.future.await
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.util.concurrent.CompletableFuture

/**
 * The request with its whole body, which is held once: outside the heap while it arrives, however small its parts are,
 * then in one array.
 */
public suspend fun HttpRequest.readWhole(): AggregatedHttpRequest {
    val body = BodySubscriber(this)
    subscribe(body, SubscriptionOption.WITH_POOLED_OBJECTS)
    return body.whole.await()
}

private class BodySubscriber(private val request: HttpRequest) : Subscriber<HttpObject> {
    private val bytes = CollectedBytes()
    private var trailers = HttpHeaders.of()
    val whole = CompletableFuture<AggregatedHttpRequest>()

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
        val content = HttpData.wrap(bytes.take())
        whole.complete(AggregatedHttpRequest.of(request.headers(), content, trailers))
    }
}
