package bergamotwall.gateway.http

/**
 * Tells whether a stream of server-sent events (WHATWG HTML, 9.2) that arrives in pieces may end here: not in the
 * middle of a line, nor after a field of an event that no blank line has ended. Comments belong to no event.
 */
internal class EventBoundary {
    private var insideLine = false
    private var comment = false
    private var openFields = false

    /** Whether the stream has broken off if it ends now. */
    val insideEvent: Boolean get() = insideLine || openFields

    /** Adds the next [bytes] of the stream. */
    fun add(bytes: ByteArray) {
        for (byte in bytes) {
            when (byte) {
                NEWLINE -> endLine()
                CARRIAGE_RETURN -> Unit
                else -> {
                    if (!insideLine) comment = byte == COLON
                    insideLine = true
                }
            }
        }
    }

    private fun endLine() {
        openFields = insideLine && (openFields || !comment)
        insideLine = false
    }

    private companion object {
        private const val NEWLINE = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val COLON = ':'.code.toByte()
    }
}
