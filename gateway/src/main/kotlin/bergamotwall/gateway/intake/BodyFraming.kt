package bergamotwall.gateway.intake

import io.netty.buffer.ByteBuf

/** Finds the end of a request's body in the bytes of a connection. */
internal interface BodyFraming {
    /** Whether the body is complete. */
    val ended: Boolean

    /** Bytes of content found so far, without those of the framing. */
    val contentBytes: Long

    /** Looks at the bytes of [bytes] from index [from] on, once each; returns the index after those of the body. */
    fun advance(
        bytes: ByteBuf,
        from: Int,
    ): Int
}

/** The framing of the request whose head is [head]; null if it has no body. */
internal fun bodyFramingOf(head: RequestHead): BodyFraming? =
    when {
        head.chunked -> ChunkedFraming()
        head.contentLength == RequestHead.UNCLEAR -> FixedFraming(Long.MAX_VALUE)
        else -> head.contentLength?.takeIf { it > 0 }?.let { FixedFraming(it) }
    }

private class FixedFraming(private val lengthBytes: Long) : BodyFraming {
    override var contentBytes = 0L
        private set

    override val ended: Boolean get() = contentBytes == lengthBytes

    override fun advance(
        bytes: ByteBuf,
        from: Int,
    ): Int {
        val count = minOf(lengthBytes - contentBytes, (bytes.writerIndex() - from).toLong()).toInt()
        contentBytes += count
        return from + count
    }
}

/** Chunked framing as RFC 9112, 7.1 has it; what is malformed is left to the HTTP codec, which refuses it. */
private class ChunkedFraming : BodyFraming {
    private enum class State { SIZE, EXTENSION, DATA, DATA_END, TRAILER_START, TRAILER, END }

    private var state = State.SIZE
    private var chunkBytes = 0L

    override var contentBytes = 0L
        private set

    override val ended: Boolean get() = state == State.END

    override fun advance(
        bytes: ByteBuf,
        from: Int,
    ): Int {
        var index = from
        while (!ended && index < bytes.writerIndex()) {
            if (state == State.DATA) {
                val count = minOf(chunkBytes, (bytes.writerIndex() - index).toLong()).toInt()
                chunkBytes -= count
                contentBytes += count
                index += count
                if (chunkBytes == 0L) state = State.DATA_END
            } else {
                state = after(bytes.getByte(index++).toInt())
            }
        }
        return index
    }

    private fun after(byte: Int): State {
        val lineEnds = byte == '\n'.code
        return when (state) {
            State.SIZE -> afterSize(byte)
            State.EXTENSION -> if (lineEnds) afterSizeLine() else State.EXTENSION
            State.DATA_END -> if (lineEnds) State.SIZE else State.DATA_END
            State.TRAILER_START ->
                when {
                    lineEnds -> State.END
                    byte == '\r'.code -> State.TRAILER_START
                    else -> State.TRAILER
                }
            State.TRAILER -> if (lineEnds) State.TRAILER_START else State.TRAILER
            State.DATA, State.END -> state
        }
    }

    private fun afterSize(byte: Int): State {
        val digit = Character.digit(byte, HEXADECIMAL)
        return when {
            byte == '\n'.code -> afterSizeLine()
            digit < 0 -> State.EXTENSION
            else -> {
                chunkBytes = minOf(chunkBytes * HEXADECIMAL + digit, MAX_CHUNK_BYTES)
                State.SIZE
            }
        }
    }

    private fun afterSizeLine(): State = if (chunkBytes > 0) State.DATA else State.TRAILER_START

    private companion object {
        private const val HEXADECIMAL = 16

        /** Larger than any body; the codec refuses larger numbers. */
        private const val MAX_CHUNK_BYTES = 1L shl 40
    }
}
