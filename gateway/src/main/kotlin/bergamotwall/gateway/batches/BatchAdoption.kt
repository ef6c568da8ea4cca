package bergamotwall.gateway.batches

import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.model.BatchId
import bergamotwall.runtime.Decision
import bergamotwall.runtime.read
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import org.tinylog.Logger

/** Makes this process the owner of single orphans. Confined to the batch loop. */
internal class BatchAdoption(
    private val dependencies: BatchDependencies,
    private val store: BatchStore,
    private val ownedBatches: OwnedBatches,
) {
    /**
     * Adopts batch [id], whose record is [stored]. One that another build of the program has written in a form that
     * this one can't read is left alone: a build that can will run it.
     */
    suspend fun adopt(
        id: BatchId,
        stored: OwnershipRecord,
    ): AdoptionOutcome =
        store.load(id, stored.ownership).fold(
            success = { claim(id, stored) },
            failure = { if (it is KeyValueError.Rejected) AdoptionOutcome.UNREADABLE else AdoptionOutcome.LATER },
        )

    /** Claims the batch as long as this process is registered, and runs it. */
    private suspend fun claim(
        id: BatchId,
        stored: OwnershipRecord,
    ): AdoptionOutcome {
        val registered = dependencies.registration.condition ?: return AdoptionOutcome.LATER
        val self = dependencies.self()
        val claimed = stored.ownership.copy(owner = self.id, incarnation = self.incarnation)
        val sentAt = dependencies.shared.clock.read()
        return store.replace(id, stored, claimed, registered).fold(
            success = { outcome ->
                when (outcome) {
                    is TransactionOutcome.Committed -> {
                        val record = stored.copy(ownership = claimed, revision = outcome.revision)
                        run(id, stored, ownedBatches.known(record, sentAt))
                    }
                    is TransactionOutcome.Declined -> {
                        dependencies.registration.declined(registered, outcome.read)
                        AdoptionOutcome.LATER
                    }
                }
            },
            failure = { if (mayHaveApplied(it)) AdoptionOutcome.UNCONFIRMED else AdoptionOutcome.LATER },
        )
    }

    /**
     * Runs the claimed batch with all results that the former owner has stored until then. If it cannot be read now,
     * the next search finds it owned by this process but not run.
     */
    private suspend fun run(
        id: BatchId,
        stored: OwnershipRecord,
        claimed: KnownOwnership,
    ): AdoptionOutcome {
        val loaded = store.load(id, claimed.record.ownership).get() ?: return AdoptionOutcome.LATER
        val record = loaded.record
        val route = dependencies.shared.gatewayState.routes.read().find(record.host, record.path)
        return if (route == null) {
            Logger.warn("event=batch_without_route batch={} path={}", id.value, record.path)
            AdoptionOutcome.UNROUTABLE
        } else {
            val nowMillis = dependencies.shared.clock.monotonicMillis()
            val batch = OwnedBatch(record, claimed, route, nowMillis, loaded.results, loaded.texts)
            batch.bodies = loaded.stored.bodies
            ownedBatches.add(batch)
            journal(stored, loaded)
            AdoptionOutcome.ADOPTED
        }
    }

    private fun journal(
        stored: OwnershipRecord,
        loaded: StoredBatch,
    ): Unit =
        dependencies.shared.journal.record(
            Decision(
                "batch/${loaded.record.id.value}",
                "adopted",
                "its owner is not registered and does not respond",
                "owner ${stored.ownership.owner.value}",
                "results stored: ${loaded.results.size} of ${loaded.record.items.size}, texts: ${loaded.texts.size}",
            ),
        )
}

/** Outcome of the attempt to adopt a batch. */
internal enum class AdoptionOutcome {
    /** This process runs the batch. */
    ADOPTED,

    /** No current route matches the batch. */
    UNROUTABLE,

    /** The batch can't be decoded. */
    UNREADABLE,

    /** Another process was first, this one is not registered, or the key-value service did not respond. */
    LATER,

    /** This process may have become the owner, or may still do so. */
    UNCONFIRMED,
}
