package bergamotwall.drivers.http

import io.netty.buffer.ByteBuf

/**
 * Checks the syntax of HTTP/1.1 responses (RFC 9112, sections 4 to 7) in the bytes of a connection: the lines of heads
 * and trailers, and what separates chunks. The decoder that reads the same bytes reports where a head and a response
 * end, with [headEnded] and [responseEnded]. Not thread-safe.
 */
internal class ResponseSyntax {
    private enum class State { STATUS_LINE, FIELDS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS }

    private var state = State.STATUS_LINE
    private var chunkBytes = 0L

    /** What is malformed, or null if nothing is. */
    var fault: String? = null
        private set

    /** The head has ended; its body is in chunks if [chunked]. */
    fun headEnded(chunked: Boolean) {
        state = if (chunked) State.CHUNK_SIZE else State.BODY
    }

    /** The response has ended; the next bytes are those of another head. */
    fun responseEnded() {
        state = State.STATUS_LINE
    }

    /** Checks the bytes of [bytes] between the indexes [from] and [until], which end with a line unless in a body. */
    fun add(
        bytes: ByteBuf,
        from: Int,
        until: Int,
    ) {
        var index = from
        while (fault == null && index < until) {
            index =
                when (state) {
                    State.BODY -> until
                    State.CHUNK -> skipChunk(index, until)
                    State.CHUNK_END -> endChunk(bytes, index)
                    else -> addLine(bytes, index, until)
                }
        }
    }

    private fun skipChunk(
        from: Int,
        until: Int,
    ): Int {
        val count = minOf(chunkBytes, (until - from).toLong()).toInt()
        chunkBytes -= count
        if (chunkBytes == 0L) state = State.CHUNK_END
        return from + count
    }

    /** Checks one byte, as the end of a line may be split. */
    private fun endChunk(
        bytes: ByteBuf,
        index: Int,
    ): Int {
        when (bytes.getByte(index)) {
            NEWLINE -> state = State.CHUNK_SIZE
            CARRIAGE_RETURN -> Unit
            else -> fault = "a chunk is longer than its size"
        }
        return index + 1
    }

    private fun addLine(
        bytes: ByteBuf,
        from: Int,
        until: Int,
    ): Int {
        val newline = bytes.indexOf(from, until, NEWLINE)
        val next = if (newline < 0) until else newline + 1
        var end = if (newline < 0) until else newline
        if (end > from && bytes.getByte(end - 1) == CARRIAGE_RETURN) end--
        when (state) {
            // Empty lines before a response belong to none (section 2.2).
            State.STATUS_LINE -> if (end > from) addStatusLine(bytes, from, end)
            State.CHUNK_SIZE -> addChunkSize(bytes, from, end)
            else -> if (end > from) addField(bytes, from, end)
        }
        return next
    }

    private fun addStatusLine(
        bytes: ByteBuf,
        from: Int,
        end: Int,
    ) {
        val line = bytes.toString(from, end - from, Charsets.ISO_8859_1)
        if (STATUS_LINE.matches(line)) state = State.FIELDS else fault = "status line"
    }

    private fun addField(
        bytes: ByteBuf,
        from: Int,
        end: Int,
    ) {
        val colon = bytes.indexOf(from, end, COLON)
        when {
            colon <= from -> fault = "field without a name"
            (from until colon).any { !isToken(bytes.getByte(it)) } -> fault = "field name"
            (colon until end).any { !isText(bytes.getByte(it)) } -> fault = "field value"
        }
    }

    private fun addChunkSize(
        bytes: ByteBuf,
        from: Int,
        end: Int,
    ) {
        val line = bytes.toString(from, end - from, Charsets.ISO_8859_1)
        val size = CHUNK_SIZE.matchEntire(line)?.groupValues?.get(1)?.toLong(HEXADECIMAL)
        when (size) {
            null -> fault = "chunk size"
            0L -> state = State.TRAILERS
            else -> {
                chunkBytes = size
                state = State.CHUNK
            }
        }
    }

    private companion object {
        private const val NEWLINE = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val COLON = ':'.code.toByte()
        private const val HEXADECIMAL = 16

        /** Statuses from 100 to 599, as RFC 9110, section 15, has them; the reason may be missing. */
        private val STATUS_LINE = Regex("HTTP/1\\.\\d [1-5]\\d\\d(?: [\\t\\x20-\\x7e\\x80-\\xff]*)?")

        /** Some servers pad sizes with blanks. */
        private val CHUNK_SIZE = Regex("([\\dA-Fa-f]{1,15})[ \\t]*(?:;[\\t\\x20-\\x7e\\x80-\\xff]*)?")

        /** Whether a name may contain a character (RFC 9110, 5.6.2), by its code. */
        private val TOKEN = BooleanArray(Byte.MAX_VALUE + 1) { isTokenCharacter(it.toChar()) }

        private fun isTokenCharacter(char: Char): Boolean = char.isLetterOrDigit() || char in "!#$%&'*+-.^_`|~"

        private fun isToken(byte: Byte): Boolean = byte >= 0 && TOKEN[byte.toInt()]

        /** Whether a field value may contain [byte]: tabs, blanks, visible characters and bytes above 127. */
        private fun isText(byte: Byte): Boolean = byte == '\t'.code.toByte() || byte < 0 || byte in ' '.code..'~'.code
    }
}
