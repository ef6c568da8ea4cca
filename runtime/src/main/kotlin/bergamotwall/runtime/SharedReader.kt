package bergamotwall.runtime

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueStore
import bergamotwall.model.Configuration
import bergamotwall.model.Jsons
import bergamotwall.model.ModelName
import bergamotwall.model.PublishedVersion
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.onSuccess

/** Takes what operators and trainers wrote from the key-value service to the blackboard. */
public class SharedReader(private val store: KeyValueStore, private val keeper: DocumentKeeper) {
    /** Reads everything once; returns the revision read at, or null if the service did not answer. */
    public suspend fun readAll(): Long? {
        var revision: Long? = null
        store.list(SharedKeys.WATCHED).onSuccess { listing ->
            listing.entries.forEach { apply(it, "read from the key-value service") }
            revision = listing.revision
        }
        return revision
    }

    /** Watches until the watch breaks. */
    public suspend fun watch(fromRevision: Long): Unit =
        store.watch(SharedKeys.WATCHED, fromRevision).collect { apply(it, "watched in the key-value service") }

    private fun apply(
        entry: KeyValueEntry,
        cause: String,
    ) {
        if (entry.key == SharedKeys.CONFIGURATION) {
            keeper.offer(Jsons.wire.decodeFromString(Configuration.serializer(), entry.value), cause)
        } else if (entry.key.startsWith(SharedKeys.PUBLISHED)) {
            val model = ModelName(entry.key.removePrefix(SharedKeys.PUBLISHED))
            keeper.offer(listOf(PublishedVersion(model, WeightVersion(entry.value.toLong()))))
        }
    }
}
