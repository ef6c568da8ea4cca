package bergamotwall.gateway.batches

/** How the creation of a batch ended. */
internal sealed interface CreateOutcome {
    /** It exists, created by this call. */
    data class Created(val record: OwnedRecord) : CreateOutcome

    /** It existed before. */
    data class Existed(val record: OwnedRecord) : CreateOutcome

    /** It does not exist and will not, by this call. */
    data class NotCreated(val detail: String) : CreateOutcome

    /** It may exist, now or later. */
    data class Unknown(val detail: String) : CreateOutcome
}
