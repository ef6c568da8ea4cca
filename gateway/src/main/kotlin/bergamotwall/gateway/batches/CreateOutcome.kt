package bergamotwall.gateway.batches

/**
 * Outcome of creating a batch in the key-value service. The names of the variants are label values of the metric
 * `submissions`.
 */
internal sealed interface CreateOutcome {
    /** This call created the batch, and this process still owns it. */
    data class Created(val record: OwnershipRecord) : CreateOutcome

    /** The batch existed before, or another process owns it by now. */
    data class Existed(val record: OwnershipRecord) : CreateOutcome

    /** This call has not created the batch, and none of its writes can still do so. */
    data class NotCreated(val detail: String) : CreateOutcome

    /** This call may have created the batch, or a write of it may still take effect. */
    data class Unknown(val detail: String) : CreateOutcome
}
