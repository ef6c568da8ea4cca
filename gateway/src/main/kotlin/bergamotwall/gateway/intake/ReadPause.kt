package bergamotwall.gateway.intake

import io.netty.channel.ChannelHandlerContext

/**
 * Stops reading from a connection, so that its client has to wait. The HTTP server pauses and resumes the reading of
 * the same connection for reasons of its own; both must agree before it is read. Runs on the connection's event loop.
 */
internal class ReadPause {
    private var wanted = false

    var active = false
        private set

    fun begin(context: ChannelHandlerContext) {
        if (active) return
        active = true
        wanted = context.channel().config().isAutoRead
        context.channel().config().isAutoRead = false
    }

    fun end(context: ChannelHandlerContext) {
        if (!active) return
        active = false
        if (wanted) context.channel().config().isAutoRead = true
    }

    /** The HTTP server asks for bytes. Returns whether it may have them now; otherwise it gets them after the pause. */
    fun requested(context: ChannelHandlerContext): Boolean {
        if (active) {
            wanted = true
            context.channel().config().isAutoRead = false
        }
        return !active
    }
}
