package bergamotwall.gateway.batches

import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership

/** Takes the signs that a batch may be stored without a process that runs it. Confined to the batch loop. */
internal interface OrphanWatch {
    /**
     * The write that makes this process the owner of batch [id] was not confirmed: the batch may be stored as owned by
     * this process, now or soon, without being run.
     */
    fun unconfirmed(id: BatchId)

    /** The key-value service holds [ownership] as that of batch [id]. */
    fun ownershipRead(
        id: BatchId,
        ownership: BatchOwnership,
    )
}
