package bergamotwall.drivers.etcd

/** Cuts a stream of text pieces into lines. Not thread-safe. */
public class LineBuffer {
    private val rest = StringBuilder()

    /** Adds [piece] and returns the lines that it completed, without their ends. */
    public fun add(piece: String): List<String> {
        rest.append(piece)
        val end = rest.lastIndexOf("\n")
        if (end < 0) return emptyList()
        val lines = rest.substring(0, end).split('\n').map { it.removeSuffix("\r") }
        rest.delete(0, end + 1)
        return lines.filter { it.isNotEmpty() }
    }
}
