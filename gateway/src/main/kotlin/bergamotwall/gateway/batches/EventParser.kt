package bergamotwall.gateway.batches

import java.io.ByteArrayOutputStream

/** One event of a generation's stream. [fields] holds what is neither id nor data, by name. */
internal data class StreamEvent(val id: Long?, val data: String, val fields: Map<String, String>)

/** Cuts server-sent events (WHATWG HTML, 9.2) from the bytes of an answer. An event counts once its blank line came. */
internal class EventParser {
    private val line = ByteArrayOutputStream()
    private val data = ArrayList<String>()
    private val fields = HashMap<String, String>()
    private var id: Long? = null

    /** Adds [bytes] and returns the events that they completed. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>()
        var start = 0
        for (index in bytes.indices) {
            if (bytes[index] != NEWLINE) continue
            line.write(bytes, start, index - start)
            start = index + 1
            endLine()?.let { events += it }
        }
        line.write(bytes, start, bytes.size - start)
        return events
    }

    private fun endLine(): StreamEvent? {
        val text = line.toString(Charsets.UTF_8).removeSuffix("\r")
        line.reset()
        if (text.isEmpty()) return flush()
        field(text)
        return null
    }

    private fun field(text: String) {
        val name = text.substringBefore(':')
        val value = text.substringAfter(':', "").removePrefix(" ")
        when (name) {
            "data" -> data += value
            "id" -> id = value.trim().toLongOrNull()
            else -> fields[name] = value.trim()
        }
    }

    private fun flush(): StreamEvent? {
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
