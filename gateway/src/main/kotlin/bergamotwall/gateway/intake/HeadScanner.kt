package bergamotwall.gateway.intake

import io.netty.buffer.ByteBuf
import io.netty.util.ByteProcessor

/** Finds the end of a head of at most [maxHeadBytes], looking at each byte once; drops empty lines before it. */
internal class HeadScanner(private val maxHeadBytes: Int) {
    private var scannedBytes = 0
    private var emptyLineBytes = 0

    /** Length of the head in [bytes], with the empty line at its end; 0 if that has not arrived. */
    fun lengthOf(bytes: ByteBuf): Int {
        skipEmptyLines(bytes)
        var lineStart = bytes.readerIndex() + scannedBytes
        while (true) {
            val newline = bytes.forEachByte(lineStart, bytes.writerIndex() - lineStart, ByteProcessor.FIND_LF)
            if (newline < 0) break
            val line = newline - lineStart
            val empty = line == 0 || line == 1 && bytes.getByte(lineStart) == CARRIAGE_RETURN
            if (empty) return newline + 1 - bytes.readerIndex()
            lineStart = newline + 1
        }
        scannedBytes = lineStart - bytes.readerIndex()
        return 0
    }

    /** Why the head in [bytes], of [length] if it is complete, is refused, if it is. */
    fun refusal(
        bytes: ByteBuf,
        length: Int,
    ): Refusal? =
        when {
            emptyLineBytes > MAX_EMPTY_LINE_BYTES -> Refusal.EMPTY_LINES
            isHttp2(bytes) -> Refusal.OTHER_PROTOCOL
            length > maxHeadBytes || length == 0 && bytes.readableBytes() > maxHeadBytes -> Refusal.HEAD_TOO_LARGE
            else -> null
        }

    /** Begins with the next head. */
    fun reset() {
        scannedBytes = 0
        emptyLineBytes = 0
    }

    private fun skipEmptyLines(bytes: ByteBuf) {
        val first = bytes.forEachByte(ByteProcessor.FIND_NON_CRLF)
        val end = if (first < 0) bytes.writerIndex() else first
        if (scannedBytes > 0 || end == bytes.readerIndex()) return
        emptyLineBytes += end - bytes.readerIndex()
        bytes.readerIndex(end)
    }

    private fun isHttp2(bytes: ByteBuf): Boolean =
        bytes.readableBytes() >= HTTP2_PREFACE.size &&
            HTTP2_PREFACE.indices.all { bytes.getByte(bytes.readerIndex() + it) == HTTP2_PREFACE[it] }

    private companion object {
        /** Clients send one empty line at most after a body; RFC 9112, 2.2. */
        private const val MAX_EMPTY_LINE_BYTES = 1_024
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private val HTTP2_PREFACE = "PRI ".toByteArray()
    }
}
