package bergamotwall.gateway.store

import bergamotwall.drivers.KeyValueEntry
import java.util.concurrent.atomic.AtomicReference

/**
 * Decodes entries with [decode], each revision of an entry once: after a change only the entries that changed are
 * decoded and, if they can't be, logged. [decode] returns null for an entry that is to be left out. Thread-safe.
 */
public class DecodedEntries<T : Any>(private val decode: (KeyValueEntry) -> T?) {
    private class Decoded<T>(val revision: Long, val value: T?)

    private val decoded = AtomicReference<Map<String, Decoded<T>>>(emptyMap())

    /** The values of [entries] by key, without those that are left out. */
    public fun of(entries: Map<String, KeyValueEntry>): Map<String, T> {
        val before = decoded.get()
        val current =
            entries.mapValues { (key, entry) ->
                before[key]?.takeIf { it.revision == entry.modRevision } ?: Decoded(entry.modRevision, decode(entry))
            }
        decoded.set(current)
        val values = LinkedHashMap<String, T>()
        current.forEach { (key, entry) -> entry.value?.let { values[key] = it } }
        return values
    }
}
