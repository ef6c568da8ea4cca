package bergamotwall.entry

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.model.Jsons
import bergamotwall.model.Manifest
import bergamotwall.model.ModelName
import bergamotwall.model.TrainerName
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.SharedKeys
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map

/** The committed manifest and the published version, each with the revision at which it was read. */
internal data class DeliveryState(
    val manifest: Manifest?,
    val manifestRevision: Long,
    val published: WeightVersion,
    val publishedRevision: Long,
)

/** Reads and commits batch manifests in the key-value service. */
internal class Manifests(private val store: KeyValueStore) {
    suspend fun read(
        trainer: TrainerName,
        model: ModelName,
    ): Result<DeliveryState, KeyValueError> =
        store.get(SharedKeys.manifest(trainer)).flatMap { manifest ->
            store.get(SharedKeys.published(model)).map { stateOf(manifest, it) }
        }

    private fun stateOf(
        manifest: KeyValueEntry?,
        published: KeyValueEntry?,
    ): DeliveryState =
        DeliveryState(
            manifest = manifest?.let { Jsons.wire.decodeFromString(Manifest.serializer(), it.value) },
            manifestRevision = manifest?.modRevision ?: 0,
            published = WeightVersion(published?.value?.toLong() ?: 0),
            publishedRevision = published?.modRevision ?: 0,
        )

    /**
     * Commits [next] if neither the manifest nor the published version has changed since [state] was read. Returns
     * whether it is committed. If the response of the key-value service is lost, the manifest is read back.
     */
    suspend fun commit(
        next: Manifest,
        model: ModelName,
        state: DeliveryState,
    ): Result<Boolean, KeyValueError> {
        val key = SharedKeys.manifest(next.trainer)
        val conditions =
            listOf(
                Condition.Unchanged(key, state.manifestRevision),
                Condition.Unchanged(SharedKeys.published(model), state.publishedRevision),
            )
        val put = Write.Put(key, Jsons.wire.encodeToString(Manifest.serializer(), next))
        return store.commit(Transaction(conditions, listOf(put))).fold(
            success = { Ok(it is TransactionOutcome.Committed) },
            failure = { readBack(next, model, it) },
        )
    }

    private suspend fun readBack(
        next: Manifest,
        model: ModelName,
        error: KeyValueError,
    ): Result<Boolean, KeyValueError> =
        read(next.trainer, model).fold(
            success = { if (it.manifest == next) Ok(true) else Err(error) },
            failure = { Err(it) },
        )
}
