package bergamotwall.drivers.http

import bergamotwall.drivers.etcd.LineBuffer

/** Extracts the data of server-sent events, one `data` line each, from text that arrives in chunks. Not thread-safe. */
public class EventBuffer {
    private val lines = LineBuffer()

    /** Adds [chunk] and returns the data of the events that it completed. */
    public fun add(chunk: String): List<String> =
        lines.add(chunk).filter { it.startsWith(DATA) }.map { it.removePrefix(DATA).trim() }

    private companion object {
        private const val DATA = "data:"
    }
}
