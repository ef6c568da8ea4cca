package bergamotwall.gateway.batches

import bergamotwall.model.BatchId

/**
 * The batches that this process holds in memory. As long as they hold more than [maxChars] characters together, the
 * oldest ones to which nothing is added any more are released: all that others may ask of them is in the key-value
 * service. Confined to the batch loop.
 */
internal class RetainedBatches(private val maxChars: Long) {
    private val batches = LinkedHashMap<BatchId, OwnedBatch>()
    private val released = HashSet<BatchId>()

    /** In the order in which they were added. */
    val all: Collection<OwnedBatch> get() = batches.values

    fun find(id: BatchId): OwnedBatch? = batches[id]

    /** Whether batch [id] was released. It is no orphan, although it may name this process as its owner. */
    fun hasReleased(id: BatchId): Boolean = id in released

    fun add(batch: OwnedBatch) {
        batches[batch.record.id] = batch
        var heldChars = batches.values.sumOf { it.heldChars }
        for (oldest in batches.values.filter { it.settled }) {
            if (heldChars <= maxChars) break
            heldChars -= oldest.heldChars
            remove(oldest)
            released += oldest.record.id
        }
    }

    fun remove(batch: OwnedBatch) {
        batches.remove(batch.record.id, batch)
    }
}
