package bergamotwall.entry

import bergamotwall.decisions.hashOf
import bergamotwall.model.Done
import bergamotwall.model.FetchSamples
import bergamotwall.model.NodeId
import bergamotwall.model.ReleaseSamples
import bergamotwall.model.Sample
import bergamotwall.model.StoreSample
import bergamotwall.model.StoredSamples
import bergamotwall.model.TrainerName
import bergamotwall.runtime.Node
import com.github.michaelbull.result.get
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/** A sample and the stores that have a copy of it. */
internal data class StoredSample(val sample: Sample, val stores: List<NodeId>)

/** Client of the sample stores. Writes each sample to [COPIES] of them, or to fewer if not as many are available. */
internal class SampleStores(private val node: Node, private val fleet: FleetView) {
    /** Stores [sample] durably; null if no store accepted it. */
    suspend fun store(
        trainer: TrainerName,
        batch: Long,
        sample: Sample,
    ): StoredSample? {
        val storedOn = ArrayList<NodeId>()
        for (store in fleet.sampleStores().sortedByDescending { hashOf("${sample.id.value}@${it.id.value}") }) {
            if (storedOn.size == COPIES) break
            val response =
                node.peers.sendRequest(
                    store.peerAddress,
                    StoreSample(trainer, batch, sample),
                    STORE_TIMEOUT_MILLIS
                ).get()
            if (response == Done) storedOn += store.id
        }
        return if (storedOn.isEmpty()) null else StoredSample(sample, storedOn)
    }

    /** All samples of [batch] that any reachable store has. */
    suspend fun fetch(
        trainer: TrainerName,
        batch: Long,
    ): List<StoredSample> =
        coroutineScope {
            fleet
                .sampleStores()
                .map { store ->
                    async {
                        val response =
                            node.peers
                                .sendRequest(store.peerAddress, FetchSamples(trainer, batch), FETCH_TIMEOUT_MILLIS)
                                .get()
                        (response as? StoredSamples)?.samples.orEmpty().map { StoredSample(it, listOf(store.id)) }
                    }
                }.awaitAll()
                .flatten()
                .groupBy { it.sample.id }
                .map { (_, copies) -> newestOf(copies) }
        }

    /** A sample is stored again once it is scored, and a store may have missed that. */
    private fun newestOf(copies: List<StoredSample>): StoredSample {
        val newest = copies.filter { it.sample.score != null }.ifEmpty { copies }
        return StoredSample(newest.first().sample, newest.flatMap { it.stores }.distinct())
    }

    /** Lets the stores delete the samples of all batches up to [batch]. */
    suspend fun release(
        trainer: TrainerName,
        batch: Long,
    ) {
        fleet.sampleStores().forEach {
            node.peers.sendRequest(it.peerAddress, ReleaseSamples(trainer, batch), STORE_TIMEOUT_MILLIS)
        }
    }

    private companion object {
        private const val COPIES = 2
        private const val STORE_TIMEOUT_MILLIS = 2_000L
        private const val FETCH_TIMEOUT_MILLIS = 5_000L
    }
}
