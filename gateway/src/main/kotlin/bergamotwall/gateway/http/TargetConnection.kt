package bergamotwall.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import org.tinylog.Logger

/**
 * One connection to a target, with at most one exchange. All but [start], [abandon], [usable] and [close] runs on the
 * channel's event loop. [release] takes it back once its answer is whole and nothing follows.
 */
internal class TargetConnection(
    private val channel: Channel,
    limits: TargetClientLimits,
    private val release: (TargetConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var exchange: NettyExchange? = null
    private var written: ChannelFuture? = null
    private var finished = false
    private val reader = AnswerReader(limits)
    private var failure: String? = null

    init {
        channel.pipeline().addLast(this)
    }

    fun usable(): Boolean = channel.isActive && System.nanoTime() < reader.idleUntilNanos

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
            if (reader.keep && written?.isSuccess == true) release(this) else channel.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        exchange?.broken(
            failure ?: "connection closed",
            mayHaveRun = written?.isDone != true || written?.isSuccess == true
        )
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
                reader.keep = false
                channel.close()
            }
            message.decoderResult().isFailure -> {
                exchange = null
                current.broken("malformed answer: ${message.decoderResult().cause().message}", mayHaveRun = true)
                channel.close()
            }
            reader.read(current, message) -> {
                exchange = null
                finished = true
                current.end()
            }
        }
    }
}
