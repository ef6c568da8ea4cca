package bergamotwall.entry

import bergamotwall.decisions.HandOver
import bergamotwall.decisions.decideHandOver
import bergamotwall.decisions.isFresh
import bergamotwall.model.BatchOrder
import bergamotwall.model.ManifestEntry
import bergamotwall.model.Sample
import bergamotwall.model.SampleId
import bergamotwall.model.TrainerIntent
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap

/** The whole samples of one batch: kept on the stores before they count, dropped when they become too old. */
internal class BatchSamples(
    private val node: Node,
    private val stores: SampleStores,
    private val trainer: TrainerIntent,
    private val number: Long,
    private val stats: TrainerStatsRef,
) {
    private val samples = ConcurrentHashMap<SampleId, StoredSample>()

    /** Takes over what the stores hold of the batch. */
    suspend fun fetch(): Unit = stores.fetch(trainer.name, number).forEach { samples[it.sample.id] = it }

    /** Sorts the samples against [published]; those that are too old are dropped and counted. */
    fun handOver(
        order: BatchOrder,
        published: WeightVersion,
    ): HandOver {
        val stored = samples.values.map { it.sample }.sortedBy { it.id.value }
        val handOver = decideHandOver(order, stored, published, trainer.stalenessBoundVersions)
        expire(handOver.expired, published)
        return handOver
    }

    /** Keeps [sample]; false if it is too old already. Waits for a store if none answers. */
    suspend fun keep(sample: Sample): Boolean {
        val published = node.board.published.read().of(trainer.model)
        if (!isFresh(sample, published, trainer.stalenessBoundVersions)) {
            expire(listOf(sample), published)
            return false
        }
        samples[sample.id] = store(sample)
        stats.updateAndGet { it.copy(ready = minOf(it.wanted, it.ready + 1)) }
        return true
    }

    fun find(id: SampleId): Sample? = samples[id]?.sample

    fun entryOf(sample: Sample): ManifestEntry = ManifestEntry(
        sample.id,
        sample.versions,
        samples.getValue(sample.id).stores
    )

    private suspend fun store(sample: Sample): StoredSample {
        var stored = stores.store(trainer.name, number, sample)
        while (stored == null) {
            node.journal.record(
                Decision("sample/${sample.id.value}", "waits", "kept before it counts", "no store answers")
            )
            delay(RETRY_MILLIS)
            stored = stores.store(trainer.name, number, sample)
        }
        return stored
    }

    private fun expire(
        expired: List<Sample>,
        published: WeightVersion,
    ) {
        expired.forEach { sample ->
            samples.remove(sample.id)
            val inputs = "versions ${sample.versions.map { it.value }}, published ${published.value}"
            node.journal.record(
                Decision("sample/${sample.id.value}", "replaced", "older than the staleness bound", "", inputs)
            )
        }
        stats.updateAndGet { it.copy(expired = it.expired + expired.size) }
        node.metrics.expired.labelValues(trainer.name.value).inc(expired.size.toDouble())
    }

    private companion object {
        private const val RETRY_MILLIS = 200L
    }
}
