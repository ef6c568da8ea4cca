package bergamotwall.decisions.responses

/**
 * Finds the beginning of another response in the body of a response. A target that stops in the middle of a body and
 * sends another response on the same connection fills the body with it, so that the body looks complete.
 *
 * A body may quote a response for a good reason. So it is in doubt only if the quoted head names a request that the
 * connection has carried, as [sent] tells from the value of the field [identityField], or if the body ends inside of
 * that head. [identityField] is null if the request has no id; then only the second sign counts.
 */
public class JoinedResponses(identityField: String?, private val sent: (String) -> Boolean) {
    private val identity =
        identityField?.let { Regex("\r\n${Regex.escape(it)}:[ \t]*([^\r\n]*?)[ \t]*\r\n", RegexOption.IGNORE_CASE) }

    /** The end of the body received so far, from where a head may begin in it. */
    private var head = ""

    /** Adds [bytes] of the body. Returns whether the body contains the head of another response of the connection. */
    public fun add(bytes: ByteArray): Boolean {
        val first = if (head.isEmpty()) indexOfHead(bytes) else 0
        if (first < 0) return false
        val text = head + String(bytes, first, bytes.size - first, Charsets.ISO_8859_1)
        head = ""
        var at = text.indexOf(FIRST)
        var found = false
        while (!found && at >= 0) {
            val candidate = text.substring(at, minOf(text.length, at + MAX_HEAD_CHARS))
            val open = !candidate.contains(END_OF_HEAD) && candidate.length < MAX_HEAD_CHARS
            found = namesSentRequest(candidate)
            if (open && mayBeHead(candidate)) {
                head = candidate
                at = -1
            } else {
                at = text.indexOf(FIRST, at + 1)
            }
        }
        return found
    }

    /** Whether the body, which has ended, ends inside of a head that goes on with [following] on the connection. */
    public fun endsInside(following: ByteArray): Boolean {
        if (head.isEmpty()) return false
        val statusLine = STATUS_LINE.find(head + String(following, Charsets.ISO_8859_1))
        return statusLine != null && (following.isNotEmpty() || head.length > statusLine.value.length)
    }

    private fun namesSentRequest(candidate: String): Boolean {
        val end = candidate.indexOf(END_OF_HEAD)
        val fields = if (end < 0) candidate else candidate.substring(0, end + LINE_END.length)
        return STATUS_LINE.containsMatchIn(fields) && identity?.find(fields)?.let { sent(it.groupValues[1]) } == true
    }

    /** Whether [candidate] begins with a status line, or with a part of one that has not been received as a whole. */
    private fun mayBeHead(candidate: String): Boolean {
        val matcher = STATUS_LINE.toPattern().matcher(candidate)
        return matcher.lookingAt() || matcher.hitEnd()
    }

    private fun indexOfHead(bytes: ByteArray): Int = bytes.indices.firstOrNull { startsHead(bytes, it) } ?: -1

    private fun startsHead(
        bytes: ByteArray,
        at: Int,
    ): Boolean = PREFIX.indices.all { at + it >= bytes.size || bytes[at + it] == PREFIX[it] }

    private companion object {
        private const val FIRST = 'H'
        private val PREFIX = "HTTP/".toByteArray()

        /** Status line (RFC 9112, section 4). */
        private val STATUS_LINE = Regex("^HTTP/\\d\\.\\d \\d{3}[^\r\n]*\r\n")
        private const val LINE_END = "\r\n"
        private const val END_OF_HEAD = "\r\n\r\n"

        /** Larger heads of targets are rare, and a part of one is enough to recognise it. */
        private const val MAX_HEAD_CHARS = 8_192
    }
}
