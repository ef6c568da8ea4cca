package bergamotwall.drivers.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * Netty's decoder for responses, without its leniency: it takes any number for a status, ends the name of a field at
 * the first blank, and ignores codings and bytes that it can't decode, so that a malformed response looks like another
 * one.
 *
 * At the first malformed head, trailer or chunk it throws a [DecoderException] and decodes nothing further of the
 * connection; nothing of a malformed head is passed on.
 */
public open class StrictResponseDecoder(config: HttpDecoderConfig) : HttpResponseDecoder(config) {
    private val syntax = ResponseSyntax()

    /** Whether a malformed response has been received. */
    protected var failed: Boolean = false
        private set

    /** Decodes what is complete in [bytes]; [messages] is empty before. */
    override fun decode(
        context: ChannelHandlerContext,
        bytes: ByteBuf,
        messages: MutableList<Any>,
    ) {
        if (failed) {
            bytes.skipBytes(bytes.readableBytes())
            return
        }
        val from = bytes.readerIndex()
        super.decode(context, bytes, messages)
        // Netty decodes lines as a whole, and a head apart from its body.
        syntax.add(bytes, from, bytes.readerIndex())
        val fault = messages.firstNotNullOfOrNull { causeOf(it) } ?: syntax.fault ?: codingFaultOf(messages)
        if (fault != null) {
            failed = true
            messages.forEach { ReferenceCountUtil.release(it) }
            messages.clear()
            throw DecoderException("malformed response: $fault")
        }
        (messages.firstOrNull() as? HttpResponse)?.let { syntax.headEnded(HttpUtil.isTransferEncodingChunked(it)) }
        if (messages.lastOrNull() is LastHttpContent) syntax.responseEnded()
    }

    /** A sender must not send both (RFC 9112, 6.2), and receivers that differ in which one counts read other bodies. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both a length and a transfer coding")

    private fun causeOf(message: Any): String? =
        (message as? HttpObject)?.decoderResult()?.cause()?.let { it.message ?: it.javaClass.simpleName }

    /** No request asks for a coding, so that chunks are the only one that a response may have (RFC 9110, 10.1.4). */
    private fun codingFaultOf(messages: List<Any>): String? {
        val codings = (messages.firstOrNull() as? HttpResponse)?.headers()?.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val known = codings.isNullOrEmpty() || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.singleOrNull())
        return if (known) null else "transfer coding"
    }
}
