package bergamotwall.gateway.intake

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent

/**
 * Follows the responses of a connection, above the HTTP codec: what the client has not read of them is part of
 * [memory], and [onEnd] is called once it has read one. Runs on the connection's event loop.
 */
internal class ResponseTracker(
    private val memory: HeldMemory,
    private val onEnd: () -> Unit,
) : ChannelOutboundHandlerAdapter() {
    private var informational = false
    private var lastProgress = 0L

    /** Whether the response to the current request has begun. */
    var begun = false
        private set

    /** Bytes that the client has not read. */
    @Volatile
    var unreadBytes = 0L
        private set

    /** Adds this handler to [pipeline]. Returns whether the HTTP codec is there. */
    fun addAfterCodec(pipeline: ChannelPipeline): Boolean {
        val codec = pipeline.names().firstOrNull { pipeline.get(it)?.javaClass?.simpleName == CODEC }
        if (codec != null) pipeline.addAfter(codec, null, this)
        return codec != null
    }

    /** Non-null if the client has read something since the last call, or nothing waits to be read. */
    fun progress(channel: Channel): Unit? {
        val read = (channel.unsafe().outboundBuffer()?.currentProgress() ?: 0) - unreadBytes
        val changed = read != lastProgress && unreadBytes > 0
        lastProgress = read
        return if (changed) Unit else null
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (message is HttpResponse) {
            informational = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
            if (!informational) begun = true
        }
        val bytes = ((message as? HttpContent)?.content()?.readableBytes() ?: 0) + OBJECT_BYTES
        val ends = message is LastHttpContent && !informational
        memory.add(IntakeClass.RESPONSES, bytes)
        unreadBytes += bytes
        context.write(message, promise.unvoid()).addListener { future ->
            // After the end of the connection, all of its memory has been released.
            if (context.channel().isActive) memory.add(IntakeClass.RESPONSES, -bytes)
            unreadBytes -= bytes
            if (ends) begun = false
            if (ends && future.isSuccess) onEnd()
        }
    }

    private companion object {
        /** Armeria's codec for HTTP/1, which is not public. */
        private const val CODEC = "HttpServerCodec"
        private const val OBJECT_BYTES = 256L
    }
}
