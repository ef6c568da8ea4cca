package bergamotwall.gateway.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.tinylog.Logger

/**
 * One connection to a target, with at most one exchange. All but [start], [abandon], [usable] and [close] runs on the
 * channel's event loop. [release] takes it back once its answer is whole and nothing follows.
 */
internal class TargetConnection(
    private val channel: Channel,
    private val limits: TargetClientLimits,
    private val release: (TargetConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var exchange: NettyExchange? = null
    private var written: ChannelFuture? = null
    private var skipping = false
    private var finished = false
    private var keep = true
    private var failure: String? = null

    @Volatile
    private var idleUntilNanos = Long.MAX_VALUE

    init {
        channel.pipeline().addLast(this)
    }

    fun usable(): Boolean = channel.isActive && System.nanoTime() < idleUntilNanos

    fun close() {
        channel.close()
    }

    fun start(next: NettyExchange) {
        channel.eventLoop().execute {
            exchange = next
            finished = false
            next.attached(this)
            if (!next.cancelled) write(next)
        }
    }

    fun abandon(which: NettyExchange) {
        channel.eventLoop().execute {
            if (exchange === which) {
                exchange = null
                which.broken("cancelled", mayHaveRun = true)
                channel.close()
            }
        }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            take(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (finished) {
            finished = false
            if (keep && written?.isSuccess == true) release(this) else channel.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        exchange?.broken(failure ?: "connection closed", mayHaveRun = written?.isDone != true || written?.isSuccess == true)
        exchange = null
    }

    @Deprecated("Deprecated in Netty's interface")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        failure = cause.message ?: cause.javaClass.simpleName
        Logger.debug("event=target_connection_failed address={} reason=\"{}\"", channel.remoteAddress(), failure)
        exchange?.broken(failure.orEmpty(), mayHaveRun = true)
        exchange = null
        channel.close()
    }

    private fun write(next: NettyExchange) {
        val request = next.request
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
        written =
            channel.writeAndFlush(message).addListener { future ->
                if (!future.isSuccess && exchange === next) {
                    exchange = null
                    next.broken("write: ${future.cause().message}", mayHaveRun = channel.isActive)
                    channel.close()
                }
            }
    }

    private fun take(message: HttpObject) {
        val current = exchange
        when {
            // Bytes that answer no request: nothing on this connection can be trusted any more.
            current == null || finished -> {
                keep = false
                channel.close()
            }
            message.decoderResult().isFailure -> {
                exchange = null
                current.broken("malformed answer: ${message.decoderResult().cause().message}", mayHaveRun = true)
                channel.close()
            }
            else -> answer(current, message)
        }
    }

    private fun answer(
        current: NettyExchange,
        message: HttpObject,
    ) {
        if (message is HttpResponse) head(current, message)
        if (message is HttpContent && !skipping) current.body(ByteBufUtil.getBytes(message.content()))
        if (message is LastHttpContent) last(current)
    }

    private fun head(
        current: NettyExchange,
        response: HttpResponse,
    ) {
        val informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val identity = current.request.identity
        val echoed = identity?.let { response.headers().get(it.name) }
        skipping = informational || (echoed != null && echoed != identity.value)
        if (skipping) {
            keep = keep && informational
            return
        }
        keep = keep && HttpUtil.isKeepAlive(response)
        idleUntilNanos = System.nanoTime() + idleMillis(response) * NANOS_PER_MILLI
        current.head(
            AnswerPart.Head(response.status().code(), response.headers().map { Header(it.key, it.value) }),
        )
    }

    private fun last(current: NettyExchange) {
        if (skipping) {
            skipping = false
            return
        }
        exchange = null
        finished = true
        current.end()
    }

    /** Idle time that the target states, less a margin for the way; never more than the limit. */
    private fun idleMillis(response: HttpResponse): Long {
        val stated = response.headers().get("keep-alive")?.let { TIMEOUT.find(it) }
        val seconds = stated?.groupValues?.get(1)?.toLongOrNull() ?: return limits.idleMillis
        return (seconds * MILLIS_PER_SECOND * IDLE_PART_PERCENT / PERCENT)
    }

    private companion object {
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val MILLIS_PER_SECOND = 1_000L

        /** A request sent later could meet the target's close on the way. */
        private const val IDLE_PART_PERCENT = 80
        private const val PERCENT = 100
        private val TIMEOUT = Regex("timeout=(\\d+)")
    }
}
