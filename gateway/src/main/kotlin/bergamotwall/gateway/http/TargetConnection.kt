package bergamotwall.gateway.http

import bergamotwall.decisions.responses.SentRequests
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import org.tinylog.Logger
import java.io.IOException

/**
 * A connection to a target, with at most one exchange at a time. [start], [cancelExchange], [resumeReading],
 * [reusable], [sent] and [close] may be used on any thread; everything else runs on the channel's event loop. [release]
 * returns the connection to the pool once the response is complete and no further bytes have arrived.
 */
internal class TargetConnection(
    address: String,
    private val channel: Channel,
    limits: TargetClientLimits,
    doubts: ResponseDoubts,
    private val release: (TargetConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var exchange: NettyExchange? = null
    private var writeFuture: ChannelFuture? = null

    /** An exchange whose response is complete, until the connection has been released. */
    private var completed: NettyExchange? = null

    /** The requests that the connection has carried. */
    val sent = SentRequests(MAX_REQUESTS)

    private val decoder = channel.pipeline().get(TargetResponseDecoder::class.java)
    private val reader = ResponseReader(address, limits, sent, doubts) { decoder.following }
    private var failure: String? = null

    init {
        channel.pipeline().addLast(this)
    }

    /** Whether another exchange can be started now. */
    val reusable: Boolean get() = channel.isActive && System.nanoTime() < reader.idleUntilNanos

    fun close() {
        channel.close()
    }

    /** Starts [next], or calls [onUnusable] if the connection can't be used any more; nothing has been sent then. */
    fun start(
        next: NettyExchange,
        onUnusable: () -> Unit,
    ) {
        channel.eventLoop().execute {
            if (channel.isActive && !decoder.insideResponse) {
                next.bind(this)
                if (next.cancelled) release(this) else write(next)
            } else {
                if (channel.isActive) reader.record(ResponseDoubt.LEFTOVER_BYTES, null)
                channel.close()
                if (!next.cancelled) onUnusable()
            }
            if (exchange !== next && next.cancelled) next.fail("cancelled", mayHaveRun = false)
        }
    }

    /** Continues to read the response of [resumed], whose parts have been taken. */
    fun resumeReading(resumed: NettyExchange) {
        channel.eventLoop().execute {
            if (exchange === resumed) channel.config().isAutoRead = resumed.readable
        }
    }

    fun cancelExchange(cancelled: NettyExchange) {
        channel.eventLoop().execute {
            if (exchange === cancelled) {
                exchange = null
                cancelled.fail("cancelled", mayHaveRun = true)
                channel.close()
            }
        }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            handle(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        exchange?.let { channel.config().isAutoRead = it.readable }
        if (exchange == null && decoder.insideResponse) {
            if (channel.isActive) reader.record(ResponseDoubt.LEFTOVER_BYTES, null)
            channel.close()
        } else if (completed != null) {
            // An idle connection is read to notice that the target closes it.
            channel.config().isAutoRead = true
            val reusable = reader.keepAlive && !decoder.bodiless && !sent.exhausted
            if (reusable && writeFuture?.isSuccess == true) release(this) else channel.close()
        }
        // Not earlier, so that the next request finds the connection in the pool.
        completed?.end()
        completed = null
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        completed?.end()
        exchange?.fail(
            failure ?: "connection closed",
            mayHaveRun = writeFuture?.isDone != true || writeFuture?.isSuccess == true,
            disconnected = true,
        )
        exchange = null
    }

    @Deprecated("Deprecated in Netty's interface")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        failure = cause.message ?: cause.javaClass.simpleName
        if (cause is DecoderException) {
            val doubt = if (exchange == null) ResponseDoubt.LEFTOVER_BYTES else ResponseDoubt.MALFORMED
            reader.record(doubt, exchange?.request)
        }
        Logger.debug("event=target_connection_failed address={} reason=\"{}\"", channel.remoteAddress(), failure)
        exchange?.fail(failure.orEmpty(), mayHaveRun = true, disconnected = cause is IOException)
        exchange = null
        channel.close()
    }

    private fun write(next: NettyExchange) {
        val request = next.request
        exchange = next
        channel.config().isAutoRead = true
        sent.add(request.identity?.value)
        decoder.bodiless = request.bodiless
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method),
                request.path,
                Unpooled.wrappedBuffer(request.body),
            )
        request.headers.forEach { message.headers().add(it.name, it.value) }
        if (request.body.isNotEmpty() || request.method == "POST") {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        writeFuture =
            channel.writeAndFlush(message).addListener { future ->
                if (!future.isSuccess && exchange === next) {
                    exchange = null
                    next.fail("write: ${future.cause().message}", mayHaveRun = channel.isActive)
                    channel.close()
                }
            }
    }

    private fun handle(message: HttpObject) {
        val current = exchange
        if (current == null) {
            // Bytes that belong to no request: nothing further on this connection can be trusted.
            if (channel.isActive) reader.record(ResponseDoubt.LEFTOVER_BYTES, null)
            channel.close()
            return
        }
        var failure: String? = null
        if (message.decoderResult().isFailure) {
            failure = "malformed answer: ${message.decoderResult().cause().message}"
        } else {
            when (reader.read(current, message)) {
                ReadProgress.INCOMPLETE -> Unit
                ReadProgress.IN_DOUBT -> failure = "the response may belong to another request"
                ReadProgress.COMPLETE -> {
                    exchange = null
                    completed = current
                }
            }
        }
        if (failure != null) {
            exchange = null
            current.fail(failure, mayHaveRun = true)
            channel.close()
        }
    }

    private companion object {
        /** Bounds the memory that a connection takes for its ids; a new connection in so many costs little. */
        private const val MAX_REQUESTS = 128
    }
}
