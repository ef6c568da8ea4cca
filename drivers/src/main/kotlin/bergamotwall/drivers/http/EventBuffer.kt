package bergamotwall.drivers.http

import bergamotwall.drivers.etcd.LineBuffer

/** Data of server-sent events, cut from a stream of text pieces. Not thread-safe. */
public class EventBuffer {
    private val lines = LineBuffer()

    /** Adds [piece] and returns the data of the events that it completed. */
    public fun add(piece: String): List<String> =
        lines.add(piece).filter { it.startsWith(DATA) }.map { it.removePrefix(DATA).trim() }

    private companion object {
        private const val DATA = "data:"
    }
}
