package bergamotwall.gateway.intake

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

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
    private val scanner = HeadScanner(limits.maxHeadBytes)
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
            Phase.RESPONSE -> {
                val next = responseEnded
                if (next) {
                    memory.releaseRequest()
                    responseEnded = false
                    framing = null
                    phase = Phase.HEAD
                }
                next
            }
            Phase.REFUSED -> {
                pending.skipBytes(pending.readableBytes())
                false
            }
        }

    private fun readHead(): Boolean {
        val length = scanner.lengthOf(pending)
        val refusal = scanner.refusal(pending, length)
        if (refusal != null) output.refuse(refusal)
        return refusal == null && length > 0 && passHead(length)
    }

    private fun passHead(length: Int): Boolean {
        val head = RequestHead.read(pending, length)
        val refusal =
            when {
                head.malformed -> Refusal.MALFORMED
                (head.contentLength ?: 0) > limits.maxBodyBytes -> Refusal.BODY_TOO_LARGE
                else -> null
            }
        if (refusal != null) output.refuse(refusal)
        if (refusal != null || !hold(IntakeClass.HEADS, REQUEST_BYTES + length + head.lines * LINE_BYTES)) return false
        framing = bodyFramingOf(head)
        phase = if (framing == null) Phase.RESPONSE else Phase.BODY
        scanner.reset()
        val bytes = if (head.upgrade.isEmpty()) pending.retainedSlice(pending.readerIndex(), length) else null
        val passed = bytes ?: pending.without(head.upgrade, length)
        pending.skipBytes(length)
        output.pass(passed)
        return true
    }

    private fun passBody(): Boolean {
        val body = framing ?: return false
        val before = body.contentBytes
        val end = body.advance(pending, pending.readerIndex() + bodyBytes)
        bodyBytes = end - pending.readerIndex()
        wantedBytes += body.contentBytes - before
        val tooLarge = body.contentBytes > limits.maxBodyBytes
        if (tooLarge) output.refuse(Refusal.BODY_TOO_LARGE)
        // After its response, what is left of a body is discarded.
        val held = !tooLarge && bodyBytes > 0 && (responseEnded || hold(IntakeClass.BODIES, wantedBytes))
        if (held) passBodyBytes(body.ended)
        return held && body.ended
    }

    private fun passBodyBytes(last: Boolean) {
        val part = pending.readRetainedSlice(bodyBytes)
        bodyBytes = 0
        wantedBytes = 0
        if (last) phase = Phase.RESPONSE
        output.pass(part)
    }

    private fun hold(
        kind: IntakeClass,
        bytes: Long,
    ): Boolean {
        val small = memory.isSmall(memory.heldBytes + bytes)
        waiting = (!small && limits.mustQueue()) || !memory.hold(kind, bytes, limits.privileged)
        return !waiting
    }

    private companion object {
        /** Objects of the HTTP server for a request, and for each line of its head, estimated from their fields. */
        private const val REQUEST_BYTES = 8_192L
        private const val LINE_BYTES = 512L
    }
}

/** A copy of the first [length] readable bytes but for those in [ranges]. */
private fun ByteBuf.without(
    ranges: List<IntRange>,
    length: Int,
): ByteBuf {
    val kept = Unpooled.buffer(length)
    var from = readerIndex()
    ranges.forEach {
        kept.writeBytes(this, from, it.first - from)
        from = it.last + 1
    }
    return kept.writeBytes(this, from, readerIndex() + length - from)
}
