package bergamotwall.gateway.http

import bergamotwall.drivers.http.StrictResponseDecoder
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.LastHttpContent

/** Decodes responses, and tells whether bytes after a complete response have been received. */
internal class TargetResponseDecoder : StrictResponseDecoder(CONFIG) {
    /** Whether the responses to the current request have no body, as those to `HEAD`. */
    var bodiless = false

    /** Whether a part of a response has been received, but not yet its end. */
    var insideResponse = false
        private set

    /** The bytes that were received right after the response that has ended last, [MAX_FOLLOWING_BYTES] at most. */
    var following = ByteArray(0)
        private set

    override fun decode(
        context: ChannelHandlerContext,
        bytes: ByteBuf,
        messages: MutableList<Any>,
    ) {
        // Empty lines before a response belong to none (RFC 9112, section 2.2).
        val begins = bytes.forEachByte { it == CARRIAGE_RETURN || it == NEWLINE } >= 0
        super.decode(context, bytes, messages)
        if (messages.lastOrNull() is LastHttpContent) {
            val length = minOf(bytes.readableBytes(), MAX_FOLLOWING_BYTES)
            following = ByteBufUtil.getBytes(bytes, bytes.readerIndex(), length)
        }
        insideResponse = messages.lastOrNull() !is LastHttpContent && (insideResponse || begins)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = bodiless || super.isContentAlwaysEmpty(message)

    private companion object {
        private const val NEWLINE = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val MAX_LINE_BYTES = 8_192
        private const val MAX_HEADER_BYTES = 65_536
        private const val MAX_CHUNK_BYTES = 65_536

        /** More than a status line has. */
        private const val MAX_FOLLOWING_BYTES = 256
        private val CONFIG =
            HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
    }
}
