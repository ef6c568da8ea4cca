package bergamotwall.gateway.intake

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.util.ByteProcessor

/**
 * Passes the bytes of a connection to the HTTP codec one request at a time, each part once there is memory for what it
 * becomes. A request that follows another one stays in [pending] until the client has read the response. Runs on the
 * connection's event loop.
 */
internal class RequestGate(
    private val memory: HeldMemory,
    private val limits: Limits,
    private val output: Output,
) {
    /** What the server of the connection accepts. */
    class Limits(
        val maxHeadBytes: Int,
        val maxBodyBytes: Long,
        val privileged: Boolean,
        /** Whether memory is kept for requests that began earlier. */
        val mustQueue: () -> Boolean,
    )

    /** Where bytes and refusals go. */
    interface Output {
        fun pass(bytes: ByteBuf)

        fun refuse(refusal: Refusal)
    }

    enum class Phase { HEAD, BODY, RESPONSE, REFUSED }

    private var pending: ByteBuf = Unpooled.EMPTY_BUFFER
    private var scannedBytes = 0
    private var emptyLineBytes = 0
    private var framing: BodyFraming? = null

    /** Bytes of [pending] that are known to belong to the body, and the content among them. */
    private var bodyBytes = 0
    private var wantedBytes = 0L
    private var responseEnded = false
    private var advancing = false

    @Volatile
    var phase = Phase.HEAD
        private set

    /** Whether the next part waits for memory. */
    var waiting = false
        private set

    /** Whether the current request can't have run: it is not complete, and not answered either. */
    val incomplete: Boolean get() = (phase == Phase.HEAD || phase == Phase.BODY) && !responseEnded

    /** Whether the client has sent something that is not passed on yet. */
    val hasPending: Boolean get() = pending.isReadable

    /** Content of the body that was received. */
    val contentBytes: Long get() = framing?.contentBytes ?: 0

    fun received(bytes: ByteBuf) {
        pending =
            if (pending.isReadable) {
                Unpooled.buffer(pending.readableBytes() + bytes.readableBytes()).also {
                    it.writeBytes(pending).writeBytes(bytes)
                    pending.release()
                    bytes.release()
                }
            } else {
                pending.release()
                bytes
            }
        advance()
    }

    /** The client has read the response to the current request. */
    fun responded() {
        responseEnded = true
        advance()
    }

    /** Passes on what it can. */
    fun advance() {
        if (advancing) return
        advancing = true
        waiting = false
        try {
            while (!waiting && step()) continue
        } finally {
            advancing = false
        }
        memory.add(IntakeClass.RECEIVED, pending.readableBytes() - memory.of(IntakeClass.RECEIVED))
    }

    /** Passes on nothing any more. */
    fun stop() {
        phase = Phase.REFUSED
        waiting = false
        pending.release()
        pending = Unpooled.EMPTY_BUFFER
        memory.release(IntakeClass.RECEIVED)
    }

    private fun step(): Boolean =
        when (phase) {
            Phase.HEAD -> readHead()
            Phase.BODY -> passBody()
            Phase.RESPONSE -> responseEnded.also { if (it) nextRequest() }
            Phase.REFUSED -> {
                pending.skipBytes(pending.readableBytes())
                false
            }
        }

    private fun readHead(): Boolean {
        skipEmptyLines()
        val length = headLength()
        val refusal =
            when {
                emptyLineBytes > MAX_EMPTY_LINE_BYTES -> Refusal.EMPTY_LINES
                isHttp2() -> Refusal.OTHER_PROTOCOL
                maxOf(length, scannedBytes) > limits.maxHeadBytes -> Refusal.HEAD_TOO_LARGE
                else -> null
            }
        if (refusal != null) return refuse(refusal)
        return length > 0 && passHead(length)
    }

    private fun passHead(length: Int): Boolean {
        val head = RequestHead.read(pending, length)
        if ((head.contentLength ?: 0) > limits.maxBodyBytes) return refuse(Refusal.BODY_TOO_LARGE)
        if (!hold(IntakeClass.HEADS, REQUEST_BYTES + length + head.lines * LINE_BYTES)) return false
        framing = bodyFramingOf(head)
        phase = if (framing == null) Phase.RESPONSE else Phase.BODY
        scannedBytes = 0
        emptyLineBytes = 0
        val start = pending.readerIndex()
        if (head.upgrade.isEmpty()) {
            output.pass(pending.readRetainedSlice(length))
        } else {
            output.pass(without(head.upgrade, start, start + length))
            pending.readerIndex(start + length)
        }
        return true
    }

    private fun passBody(): Boolean {
        val body = framing ?: return false
        val before = body.contentBytes
        val end = body.advance(pending, pending.readerIndex() + bodyBytes)
        bodyBytes = end - pending.readerIndex()
        wantedBytes += body.contentBytes - before
        if (body.contentBytes > limits.maxBodyBytes) return refuse(Refusal.BODY_TOO_LARGE)
        // After its response, what is left of a body is discarded.
        val held = bodyBytes > 0 && (responseEnded || hold(IntakeClass.BODIES, wantedBytes))
        if (!held) return false
        val part = pending.readRetainedSlice(bodyBytes)
        bodyBytes = 0
        wantedBytes = 0
        if (body.ended) phase = Phase.RESPONSE
        output.pass(part)
        return body.ended
    }

    private fun nextRequest() {
        memory.release(IntakeClass.HEADS)
        memory.release(IntakeClass.BODIES)
        responseEnded = false
        framing = null
        phase = Phase.HEAD
    }

    private fun hold(
        kind: IntakeClass,
        bytes: Long,
    ): Boolean {
        val small = memory.isSmall(memory.heldBytes + bytes)
        waiting = (!small && limits.mustQueue()) || !memory.hold(kind, bytes, limits.privileged)
        return !waiting
    }

    private fun refuse(refusal: Refusal): Boolean {
        output.refuse(refusal)
        return false
    }

    private fun skipEmptyLines() {
        val first = pending.forEachByte(ByteProcessor.FIND_NON_CRLF)
        val end = if (first < 0) pending.writerIndex() else first
        if (scannedBytes > 0 || end == pending.readerIndex()) return
        emptyLineBytes += end - pending.readerIndex()
        pending.readerIndex(end)
    }

    /** Length of the head, with the empty line at its end; 0 if that has not arrived. */
    private fun headLength(): Int {
        var lineStart = pending.readerIndex() + scannedBytes
        while (true) {
            val newline = pending.forEachByte(lineStart, pending.writerIndex() - lineStart, ByteProcessor.FIND_LF)
            if (newline < 0) break
            val length = newline + 1 - pending.readerIndex()
            val line = newline - lineStart
            if (line == 0 || line == 1 && pending.getByte(lineStart) == CARRIAGE_RETURN) return length
            lineStart = newline + 1
        }
        scannedBytes = lineStart - pending.readerIndex()
        if (pending.readableBytes() > limits.maxHeadBytes) scannedBytes = pending.readableBytes()
        return 0
    }

    private fun isHttp2(): Boolean =
        pending.readableBytes() >= HTTP2_PREFACE.size &&
            HTTP2_PREFACE.indices.all { pending.getByte(pending.readerIndex() + it) == HTTP2_PREFACE[it] }

    private fun without(
        ranges: List<IntRange>,
        start: Int,
        end: Int,
    ): ByteBuf {
        val kept = Unpooled.buffer(end - start)
        var from = start
        ranges.forEach {
            kept.writeBytes(pending, from, it.first - from)
            from = it.last + 1
        }
        return kept.writeBytes(pending, from, end - from)
    }

    private companion object {
        /** Clients send one empty line at most after a body; RFC 9112, 2.2. */
        private const val MAX_EMPTY_LINE_BYTES = 1_024

        /** Objects of the HTTP server for a request, and for each line of its head, estimated from their fields. */
        private const val REQUEST_BYTES = 8_192L
        private const val LINE_BYTES = 512L
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private val HTTP2_PREFACE = "PRI ".toByteArray()
    }
}
