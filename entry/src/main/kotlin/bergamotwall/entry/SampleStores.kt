package bergamotwall.entry

import bergamotwall.decisions.hashOf
import bergamotwall.model.Done
import bergamotwall.model.FetchSamples
import bergamotwall.model.NodeId
import bergamotwall.model.ReleaseSamples
import bergamotwall.model.Sample
import bergamotwall.model.SamplesFound
import bergamotwall.model.StoreSample
import bergamotwall.model.TrainerName
import bergamotwall.runtime.Node
import com.github.michaelbull.result.get
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/** A sample and the stores that hold it. */
internal data class StoredSample(val sample: Sample, val stores: List<NodeId>)

/** Keeps sample bodies on the sample stores, each on [COPIES] of them where there are as many. */
internal class SampleStores(private val node: Node, private val fleet: FleetView) {
    /** Stores [sample] durably; null if no store could take it. */
    suspend fun store(
        trainer: TrainerName,
        batch: Long,
        sample: Sample,
    ): StoredSample? {
        val kept = ArrayList<NodeId>()
        for (store in fleet.sampleStores().sortedByDescending { hashOf("${sample.id.value}@${it.id.value}") }) {
            if (kept.size == COPIES) break
            val answer = node.peers.ask(store.peerAddress, StoreSample(trainer, batch, sample), STORE_MILLIS).get()
            if (answer == Done) kept += store.id
        }
        return if (kept.isEmpty()) null else StoredSample(sample, kept)
    }

    /** All samples of [batch] that any store holds. */
    suspend fun fetch(
        trainer: TrainerName,
        batch: Long,
    ): List<StoredSample> =
        coroutineScope {
            fleet
                .sampleStores()
                .map { store ->
                    async {
                        val answer = node.peers.ask(store.peerAddress, FetchSamples(trainer, batch), FETCH_MILLIS).get()
                        (answer as? SamplesFound)?.samples.orEmpty().map { StoredSample(it, listOf(store.id)) }
                    }
                }.awaitAll()
                .flatten()
                .groupBy { it.sample.id }
                .map { (_, copies) -> StoredSample(copies.first().sample, copies.flatMap { it.stores }) }
        }

    /** Lets the stores drop batches up to [batch]. */
    suspend fun release(
        trainer: TrainerName,
        batch: Long,
    ) {
        fleet.sampleStores().forEach { node.peers.ask(it.peerAddress, ReleaseSamples(trainer, batch), STORE_MILLIS) }
    }

    private companion object {
        private const val COPIES = 2
        private const val STORE_MILLIS = 2_000L
        private const val FETCH_MILLIS = 5_000L
    }
}
