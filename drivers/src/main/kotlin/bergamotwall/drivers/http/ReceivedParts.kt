package bergamotwall.drivers.http

import com.linecorp.armeria.common.HttpData
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/**
 * Receives the parts of a body one after the other, the next one when the one before was taken. Unlike a flow of the
 * publisher, it can be closed before the publisher has sent the subscription, which a busy event loop may delay for
 * longer than a call waits.
 */
internal class ReceivedParts :
    Subscriber<HttpData>,
    AutoCloseable {
    private val parts = Channel<HttpData>(Channel.UNLIMITED)
    private val subscription = AtomicReference<Subscription>()
    private val closed = AtomicBoolean()

    /** Waits for the next part; closed at the end of the body, with the cause if it failed. */
    suspend fun receive(): ChannelResult<HttpData> =
        parts.receiveCatching().also { if (it.isSuccess) subscription.get()?.request(1) }

    override fun onSubscribe(begun: Subscription) {
        subscription.set(begun)
        if (closed.get()) begun.cancel() else begun.request(1)
    }

    override fun onNext(part: HttpData) {
        parts.trySend(part)
    }

    override fun onError(cause: Throwable) {
        parts.close(cause)
    }

    override fun onComplete() {
        parts.close()
    }

    override fun close() {
        closed.set(true)
        subscription.get()?.cancel()
        parts.cancel()
    }
}
