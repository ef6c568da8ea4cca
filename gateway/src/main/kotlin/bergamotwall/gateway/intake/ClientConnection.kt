package bergamotwall.gateway.intake

import bergamotwall.decisions.admission.IntakeHolding
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.DuplexChannel
import io.netty.util.ReferenceCountUtil
import java.nio.channels.ClosedChannelException
import java.util.concurrent.TimeUnit

/**
 * A connection of a client, in front of the HTTP codec. All but the properties and [evict] runs on its event loop.
 */
internal class ClientConnection(private val intake: Intake) :
    ChannelDuplexHandler(),
    IntakeHolding,
    RequestGate.Output {
    private val memory = HeldMemory(intake.memory)
    private val pause = ReadPause()
    private val responses =
        ResponseTracker(memory) {
            served = true
            update { gate.responded() }
            intake.released()
        }
    private lateinit var context: ChannelHandlerContext
    private lateinit var gate: RequestGate
    private val timing = ConnectionTiming(intake.settings, intake.nowMillis)
    private var codecAdded = false
    private var refused = false

    /** Server that the client has connected to; known once the connection is. */
    lateinit var server: IntakeServer
        private set

    /** Since when the connection carries no request; null while it carries one. */
    @Volatile
    var idleSinceMillis: Long? = timing.openedAtMillis
        private set

    /** Whether a request was answered. */
    @Volatile
    var served = false
        private set

    override val heldBytes: Long
        get() = if (gate.phase == RequestGate.Phase.RESPONSE) responses.unreadBytes else memory.heldBytes

    override val stalledMillis: Long get() = intake.nowMillis - timing.progressAtMillis

    override val waitingMillis: Long?
        get() = timing.waitingSinceMillis?.let { intake.nowMillis - timing.startedAtMillis }

    /** When the current request began. */
    val startedAtMillis: Long get() = timing.startedAtMillis

    override fun channelActive(context: ChannelHandlerContext) {
        this.context = context
        server = intake.serverOf(context.channel())
        gate = RequestGate(memory, intake.limitsOf(this), this)
        intake.opened(this)
        context.fireChannelActive()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        intake.closed(this)
        gate.stop()
        IntakeClass.entries.forEach { memory.release(it) }
        intake.released()
        context.fireChannelInactive()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        timing.progressed(intake.nowMillis)
        idleSinceMillis = null
        update { gate.received(message as ByteBuf) }
    }

    override fun read(context: ChannelHandlerContext) {
        if (pause.requested(context)) context.read()
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (!refused) {
            context.write(message, promise)
        } else {
            ReferenceCountUtil.release(message)
            promise.tryFailure(ClosedChannelException())
        }
    }

    override fun pass(bytes: ByteBuf) {
        if (codecAdded) {
            context.fireChannelRead(bytes)
        } else {
            // The server adds its codec once it has seen the first bytes.
            context.fireChannelRead(bytes.readRetainedSlice(minOf(FIRST_BYTES, bytes.readableBytes())))
            codecAdded = responses.addAfterCodec(context.pipeline())
            context.fireChannelRead(bytes)
        }
    }

    override fun refuse(refusal: Refusal) {
        if (refused) return
        refused = true
        intake.refusals.record(server, refusal)
        intake.waits(this, false)
        val text = refusal.status?.takeIf { !responses.begun && gate.incomplete }?.let { responseOf(it, refusal) }
        gate.stop()
        if (text == null) {
            context.close()
        } else {
            context.writeAndFlush(Unpooled.copiedBuffer(text, Charsets.US_ASCII)).addListener {
                (context.channel() as? DuplexChannel)?.shutdownOutput()
            }
            context.executor().schedule({ context.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    /** Closes the connection with [refusal], on any thread, unless a complete request has begun to run meanwhile. */
    fun evict(refusal: Refusal): Unit =
        context.channel().eventLoop().execute {
            if (isOpen && (heldBytes > 0 || idleSinceMillis != null)) refuse(refusal)
        }

    /** Applies what time has changed: memory that is free now, time limits that have passed. */
    fun check(): Unit =
        context.channel().eventLoop().execute {
            if (isOpen) {
                val nowMillis = intake.nowMillis
                responses.progress(context.channel())?.let { timing.progressed(nowMillis) }
                if (gate.waiting) update { gate.advance() }
                timing.refusal(gate, responses, nowMillis)?.let { refuse(it) }
            }
        }

    private val isOpen: Boolean get() = context.channel().isActive

    private fun update(change: () -> Unit) {
        change()
        val nowMillis = intake.nowMillis
        val idle = gate.phase == RequestGate.Phase.HEAD && !gate.hasPending
        if (idle && idleSinceMillis == null) idleSinceMillis = nowMillis
        timing.update(gate, idle, nowMillis)
        intake.waits(this, gate.waiting && !refused)
        val full = gate.waiting || gate.phase == RequestGate.Phase.RESPONSE && gate.hasPending
        if (full && !refused) pause.begin(context) else pause.end(context)
    }

    private companion object {
        /** The server recognises the protocol by so many bytes. */
        private const val FIRST_BYTES = 4

        /** Time for a client to read why it is refused; what it sends meanwhile is discarded. */
        private const val LINGER_MILLIS = 300L
    }
}

private fun responseOf(
    status: String,
    refusal: Refusal,
): String {
    val body = """{"error":"${refusal.detail}"}"""
    val retry = if (refusal == Refusal.MEMORY) "Retry-After: $RETRY_SECONDS\r\n" else ""
    val length = "Content-Type: application/json; charset=utf-8\r\nContent-Length: ${body.length}\r\n"
    return "HTTP/1.1 $status\r\n$length${retry}Connection: close\r\n\r\n$body"
}

private const val RETRY_SECONDS = "0.500"
