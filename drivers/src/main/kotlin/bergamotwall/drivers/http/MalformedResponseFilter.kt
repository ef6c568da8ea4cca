package bergamotwall.drivers.http

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryBuilder
import com.linecorp.armeria.client.ClientFactoryOptions
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.util.ReferenceCountUtil
import org.tinylog.Logger
import java.util.function.Consumer

/**
 * Makes the clients of the factory fail calls whose responses are malformed. For cleartext HTTP/1.1 only (`h1c`):
 * connections of HTTP/2 fail.
 */
public fun ClientFactoryBuilder.rejectMalformedResponses(): ClientFactoryBuilder =
    option(
        ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
        Consumer<ChannelPipeline> { it.addFirst(MalformedResponseFilter()) },
    )

/** Factory of clients for cleartext HTTP/1.1 (`h1c`) that fail calls whose responses are malformed. */
public val http1ClientFactory: ClientFactory by lazy { ClientFactory.builder().rejectMalformedResponses().build() }

/**
 * Passes on the bytes of responses to the HTTP client as long as [StrictResponseDecoder] can decode them, and closes
 * the connection otherwise: the client has a decoder of its own, which can't be replaced and is as lenient as Netty's.
 */
internal class MalformedResponseFilter : StrictResponseDecoder(CONFIG) {
    override fun decode(
        context: ChannelHandlerContext,
        bytes: ByteBuf,
        messages: MutableList<Any>,
    ) {
        val from = bytes.readerIndex()
        val decoded = ArrayList<Any>()
        super.decode(context, bytes, decoded)
        decoded.forEach { ReferenceCountUtil.release(it) }
        val count = bytes.readerIndex() - from
        if (count > 0 && !failed) messages.add(bytes.retainedSlice(from, count))
    }

    /** Passes on the remaining bytes only; what they lack, the decoder of the client finds as well. */
    override fun decodeLast(
        context: ChannelHandlerContext,
        bytes: ByteBuf,
        messages: MutableList<Any>,
    ) {
        val decoded = ArrayList<Any>()
        super.decodeLast(context, bytes, decoded)
        val (passed, others) = decoded.partition { it is ByteBuf }
        others.forEach { ReferenceCountUtil.release(it) }
        messages.addAll(passed)
    }

    @Deprecated("Deprecated in Netty's interface")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause is DecoderException) {
            Logger.warn(
                "event=malformed_response address={} reason=\"{}\"",
                context.channel().remoteAddress(),
                cause.message,
            )
            context.close()
        } else {
            context.fireExceptionCaught(cause)
        }
    }

    private companion object {
        /** No less than what the client accepts. */
        private const val MAX_LINE_BYTES = 65_536
        private val CONFIG =
            HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_LINE_BYTES)
    }
}
