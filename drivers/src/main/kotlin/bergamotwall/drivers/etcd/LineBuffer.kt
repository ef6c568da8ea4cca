package bergamotwall.drivers.etcd

/** Splits text that arrives in chunks into lines. Not thread-safe. */
public class LineBuffer {
    private val incomplete = StringBuilder()

    /** Adds [chunk] and returns the non-empty lines that it completed, without line terminators. */
    public fun add(chunk: String): List<String> {
        incomplete.append(chunk)
        val end = incomplete.lastIndexOf("\n")
        if (end < 0) return emptyList()
        val lines = incomplete.substring(0, end).split('\n').map { it.removeSuffix("\r") }
        incomplete.delete(0, end + 1)
        return lines.filter { it.isNotEmpty() }
    }
}
