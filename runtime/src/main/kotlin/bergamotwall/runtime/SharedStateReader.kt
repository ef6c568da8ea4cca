package bergamotwall.runtime

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueStore
import bergamotwall.model.Configuration
import bergamotwall.model.Jsons
import bergamotwall.model.ModelName
import bergamotwall.model.PublishedVersion
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.onSuccess

/**
 * Copies the configuration, written by operators, and the published versions, written by trainers, from the key-value
 * service to the fleet state.
 */
public class SharedStateReader(private val store: KeyValueStore, private val replicator: DocumentReplicator) {
    /** Reads all shared entries once; returns the revision of the read, or null if the service did not respond. */
    public suspend fun readAll(): Long? {
        var revision: Long? = null
        store.list(SharedKeys.WATCHED).onSuccess { listing ->
            listing.entries.forEach { apply(it, "read from the key-value service") }
            revision = listing.revision
        }
        return revision
    }

    /** Applies changes from [fromRevision] on until the watch ends. */
    public suspend fun watch(fromRevision: Long): Unit =
        store.watch(SharedKeys.WATCHED, fromRevision).collect { apply(it, "watched in the key-value service") }

    private fun apply(
        entry: KeyValueEntry,
        cause: String,
    ) {
        if (entry.key == SharedKeys.CONFIGURATION) {
            replicator.adoptIfNewer(Jsons.wire.decodeFromString(Configuration.serializer(), entry.value), cause)
        } else if (entry.key.startsWith(SharedKeys.PUBLISHED)) {
            val model = ModelName(entry.key.removePrefix(SharedKeys.PUBLISHED))
            replicator.adoptIfNewer(listOf(PublishedVersion(model, WeightVersion(entry.value.toLong()))))
        }
    }
}
