package bergamotwall.gateway.batches

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.decodeDocument
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.model.ItemResult
import bergamotwall.model.Jsons
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapResult
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.tinylog.Logger

/**
 * Reads and updates batches in the key-value service. A batch consists of item chunks, result chunks, chunks of texts
 * that wait for their scores, and one ownership record that fences writes of all.
 *
 * Guarantees: a batch exists once its ownership record does; results are appended only under the current revision of
 * the ownership record, and each position and each number of a text is written once.
 */
internal class BatchStore(val store: KeyValueStore) {
    /** Reads the ownership record of [batch], null if there is none. */
    suspend fun ownership(batch: BatchId): Result<OwnershipRecord?, KeyValueError> =
        store.get(GatewayKeys.batch(batch)).andThen { entry ->
            val record = entry?.let { ownershipRecordOf(it) }
            if (entry != null && record == null) Err(unreadable(entry.key)) else Ok(record)
        }

    /** Reads the ownership records of all batches, but for those that can't be read. */
    suspend fun ownerships(): Result<Map<BatchId, OwnershipRecord>, KeyValueError> =
        store.list(GatewayKeys.BATCHES).map { listing ->
            val records = HashMap<BatchId, OwnershipRecord>()
            listing.entries.forEach { entry ->
                ownershipRecordOf(entry)?.let { records[BatchId(entry.key.removePrefix(GatewayKeys.BATCHES))] = it }
            }
            records
        }

    /**
     * Replaces the ownership of [batch] in [stored] by [next] if the record is unchanged and [registered], if given,
     * holds. Fields of the record that another build has added stay as they are.
     */
    suspend fun replace(
        batch: BatchId,
        stored: OwnershipRecord,
        next: BatchOwnership,
        registered: Condition.Unchanged? = null,
    ): Result<TransactionOutcome, KeyValueError> {
        val key = GatewayKeys.batch(batch)
        val known = Jsons.wire.encodeToJsonElement(BatchOwnership.serializer(), next).jsonObject
        val put = Write.Put(key, JsonObject(stored.addedFields + known).toString())
        val conditions = listOfNotNull(Condition.Unchanged(key, stored.revision), registered)
        return store.commit(Transaction(conditions, listOf(put), orElseRead = conditions.map { it.key }))
    }

    /** Appends the chunks of [append] in one call if the ownership record still has [revision]. */
    suspend fun append(
        batch: BatchId,
        revision: Long,
        append: ResultAppend,
    ): AppendOutcome {
        val puts =
            listOfNotNull(
                putOf(GatewayKeys.chunk(GatewayKeys.results(batch), append.position), append.results),
                putOf(GatewayKeys.chunk(GatewayKeys.texts(batch), append.textNumber), append.texts),
            )
        val conditions =
            listOf(Condition.Unchanged(GatewayKeys.batch(batch), revision)) + puts.map { Condition.Absent(it.key) }
        return store.commit(Transaction(conditions, puts)).fold(
            success = {
                if (it is TransactionOutcome.Committed) {
                    AppendOutcome.APPENDED
                } else {
                    compareStored(
                        puts.first()
                    )
                }
            },
            failure = { AppendOutcome.UNKNOWN },
        )
    }

    private fun putOf(
        key: String,
        chunk: List<ItemResult>,
    ): Write.Put? =
        if (chunk.isEmpty()) null else Write.Put(key, Jsons.wire.encodeToString(CHUNK_SERIALIZER, chunk))

    /** Reads the items of [batch], which are stored under the nonce of [ownership]. */
    suspend fun items(
        batch: BatchId,
        ownership: BatchOwnership,
    ): Result<BatchRecord, KeyValueError> =
        store.list(GatewayKeys.items(batch, ownership.nonce)).andThen { listing ->
            val text = listing.entries.sortedBy { it.key }.take(ownership.parts).joinToString("") { it.value }
            decode(BatchRecord.serializer(), text, "the items of ${batch.value}")
        }

    /** Reads the results of [batch] in the order of their positions. */
    suspend fun results(batch: BatchId): Result<List<ItemResult>, KeyValueError> = chunks(GatewayKeys.results(batch))

    /** Reads the texts of [batch] that were stored before they were scored, in the order in which they were stored. */
    suspend fun texts(batch: BatchId): Result<List<ItemResult>, KeyValueError> = chunks(GatewayKeys.texts(batch))

    private suspend fun chunks(prefix: String): Result<List<ItemResult>, KeyValueError> =
        store.list(prefix).andThen { listing ->
            listing.entries
                .sortedBy { it.key }
                .mapResult { decode(CHUNK_SERIALIZER, it.value, it.key) }
                .map { it.flatten() }
        }

    /**
     * Resolves a declined append whose first chunk is [put]. If that is stored, an earlier call of ours wrote all of
     * the append and its response was lost.
     */
    private suspend fun compareStored(put: Write.Put): AppendOutcome =
        store.get(put.key).fold(
            success = { if (it?.value == put.value) AppendOutcome.APPENDED else AppendOutcome.FENCED },
            failure = { AppendOutcome.UNKNOWN },
        )

    private companion object {
        private val CHUNK_SERIALIZER = ListSerializer(ItemResult.serializer())
    }
}

/**
 * The stored [ownership] of a batch and the [revision] of its last write. [addedFields] are those that this build does
 * not know.
 */
internal data class OwnershipRecord(
    val ownership: BatchOwnership,
    val revision: Long,
    val addedFields: Map<String, JsonElement> = emptyMap(),
)

/** Outcome of appending results. */
internal enum class AppendOutcome {
    /** The results are stored at their position. */
    APPENDED,

    /**
     * Rejected: the ownership record has changed, because another process owns the batch or the batch has ended, or
     * the position holds other results.
     */
    FENCED,

    /** No response: the results may have been appended. The caller must retry the same append. */
    UNKNOWN,
}

/** The ownership record in [entry], or null if it can't be read. */
internal fun ownershipRecordOf(entry: KeyValueEntry): OwnershipRecord? =
    decodeDocument(BatchOwnership.serializer(), entry)?.let { ownership ->
        val fields = Jsons.wire.parseToJsonElement(entry.value).jsonObject
        val known = BatchOwnership.serializer().descriptor.elementNames.toSet()
        OwnershipRecord(ownership, entry.modRevision, fields - known)
    }

internal fun unreadable(key: String) = KeyValueError.Rejected("$key can't be read")

/** Decodes [text], the content of [source], which another build of the program may have written. */
internal fun <T> decode(
    deserializer: DeserializationStrategy<T>,
    text: String,
    source: String,
): Result<T, KeyValueError> =
    try {
        Ok(Jsons.wire.decodeFromString(deserializer, text))
    } catch (e: SerializationException) {
        Logger.warn("event=record_unreadable source=\"{}\" cause=\"{}\"", source, e.message?.take(MAX_LOGGED_CHARS))
        Err(unreadable(source))
    }

private const val MAX_LOGGED_CHARS = 200
