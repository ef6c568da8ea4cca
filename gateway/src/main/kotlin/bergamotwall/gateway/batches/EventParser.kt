package bergamotwall.gateway.batches

import bergamotwall.gateway.http.EventBoundary
import java.io.ByteArrayOutputStream

/** One event of the stream of a generation. [fields] holds all fields other than id and data, by name. */
internal data class StreamEvent(val id: Long?, val data: String, val fields: Map<String, String>)

/**
 * Parses server-sent events (WHATWG HTML, 9.2) from the body of a response that arrives in pieces. An event is complete
 * once the blank line that ends it was received.
 */
internal class EventParser {
    /** Bytes received since the last complete event; what the parser keeps in memory is no more than these. */
    var bytesWithoutEvent = 0
        private set

    private val boundary = EventBoundary()

    /** Whether the stream has broken off if it ends now. */
    val insideEvent: Boolean get() = boundary.insideEvent

    private val currentLine = ByteArrayOutputStream()
    private val data = ArrayList<String>()
    private val fields = HashMap<String, String>()
    private var id: Long? = null

    /** Adds the next [bytes] of the body and returns the events that they complete. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        boundary.add(bytes)
        val events = ArrayList<StreamEvent>()
        var start = 0
        for (index in bytes.indices) {
            if (bytes[index] != NEWLINE) continue
            currentLine.write(bytes, start, index - start)
            start = index + 1
            completeLine()?.let { events += it }
        }
        currentLine.write(bytes, start, bytes.size - start)
        bytesWithoutEvent = if (events.isEmpty()) bytesWithoutEvent + bytes.size else bytes.size - start
        return events
    }

    private fun completeLine(): StreamEvent? {
        val text = currentLine.toString(Charsets.UTF_8).removeSuffix("\r")
        currentLine.reset()
        if (text.isEmpty()) return completeEvent()
        parseField(text)
        return null
    }

    private fun parseField(text: String) {
        val name = text.substringBefore(':')
        val value = text.substringAfter(':', "").removePrefix(" ")
        when (name) {
            "data" -> data += value
            "id" -> id = value.trim().toLongOrNull()
            else -> fields[name] = value.trim()
        }
    }

    private fun completeEvent(): StreamEvent? {
        val event = if (data.isEmpty()) null else StreamEvent(id, data.joinToString("\n"), HashMap(fields))
        data.clear()
        fields.clear()
        id = null
        return event
    }

    private companion object {
        private const val NEWLINE = '\n'.code.toByte()
    }
}
