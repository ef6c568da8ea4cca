package bergamotwall.drivers.http

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.CompletableFuture

/**
 * Collects a response in memory and counts each part in [share] when it arrives; fails as soon as [share] may not grow.
 *
 * Armeria's `aggregate()` is not used here. It passes a part to a `peekData` callback only after the whole response has
 * arrived, so the share would not limit a response in progress. It also leaves some responses unread forever: after
 * reading was paused because the body arrived faster than it was collected, reading was not always resumed.
 */
internal class ResponseCollector(private val share: BufferShare) : Subscriber<HttpObject> {
    private val body = ByteArrayOutputStream()
    private var headers = ResponseHeaders.of(HttpStatus.UNKNOWN)

    /** The complete response. */
    val response: CompletableFuture<AggregatedHttpResponse> = CompletableFuture()

    override fun onSubscribe(subscription: Subscription): Unit = subscription.request(Long.MAX_VALUE)

    override fun onNext(part: HttpObject) {
        when {
            response.isDone -> Unit
            // Replaces the head of an interim response.
            part is ResponseHeaders -> headers = part
            part is HttpData -> add(part)
        }
    }

    override fun onError(cause: Throwable) {
        response.completeExceptionally(cause)
    }

    override fun onComplete() {
        response.complete(AggregatedHttpResponse.of(headers, HttpData.wrap(body.toByteArray())))
    }

    private fun add(data: HttpData) {
        share.add(data.length())
        if (share.mayGrow) {
            body.writeBytes(data.array())
        } else {
            response.completeExceptionally(IOException("all responses together are too large"))
        }
    }
}
