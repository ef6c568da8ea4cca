package bergamotwall.gateway.batches

import bergamotwall.gateway.routes.Route
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.runtime.Decision
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/**
 * Accepts batches: makes them durable and hands them to [owner]. A creation goes on when its caller goes away, as it
 * may take effect; [onUnsettled] is told of one that may, and is not run. Confined to the batch loop, which [scope]
 * runs on.
 */
internal class Submissions(
    private val scope: CoroutineScope,
    private val parts: BatchParts,
    private val settings: BatchSettings,
    private val owner: BatchOwner,
    private val remote: RemoteBatches,
    private val onUnsettled: (BatchId) -> Unit,
) {
    private val creator = BatchCreator(parts.store, settings.partChars)
    private val underWay = MutableStateFlow(emptyList<BatchId>())

    /** Whether a submission of [id] is under way. */
    fun isUnderWay(id: BatchId): Boolean = id in underWay.value

    /** Waits until no submission is under way. */
    suspend fun awaitNone() {
        underWay.first { it.isEmpty() }
    }

    /** Makes [record] durable and starts to run it; refused if this process is not ready. */
    suspend fun submit(
        record: BatchRecord,
        route: Route,
    ): SubmitOutcome {
        val ready = parts.self().ready
        if (owner.find(record.id) != null) return SubmitOutcome.Accepted
        return if (ready) make(record, route) else SubmitOutcome.Refused("this process leaves", LEAVING_RETRY_MILLIS)
    }

    private suspend fun make(
        record: BatchRecord,
        route: Route,
    ): SubmitOutcome {
        val outcome = scope.async { counted(record.id) { create(record, route) } }.await()
        parts.work.metrics.submitted(route.name, outcome.javaClass.simpleName)
        parts.work.journal.record(
            Decision(
                subject = "batch/${record.id.value}",
                decision = "submission: $outcome",
                rule = "created if absent",
                inputs = "route ${route.name}, ${record.items.size} items, versions from ${record.minVersion.value}",
            ),
        )
        return outcomeOf(record.id, outcome)
    }

    private suspend fun counted(
        id: BatchId,
        create: suspend () -> CreateOutcome,
    ): CreateOutcome {
        underWay.value += id
        try {
            return create()
        } finally {
            underWay.value -= id
        }
    }

    private suspend fun create(
        record: BatchRecord,
        route: Route,
    ): CreateOutcome {
        val self = parts.self()
        val wanted =
            BatchOwnership(
                owner = self.id,
                incarnation = self.incarnation,
                nonce = parts.work.random.nextLong().toULong().toString(NONCE_RADIX),
                parts = 0,
                total = record.items.size,
                acceptedAtMillis = parts.work.clock.wallMillis(),
                route = route.name,
            )
        val deadlineMillis = parts.work.clock.monotonicMillis() + settings.acceptMillis
        val outcome = creator.create(record, wanted, Attempts(parts.work.clock, parts.work.random, deadlineMillis))
        when (outcome) {
            is CreateOutcome.Created ->
                owner.take(OwnedBatch(record, outcome.record, route, parts.work.clock.monotonicMillis(), emptyList()))
            // An earlier creation by this process may have taken effect unnoticed.
            is CreateOutcome.Existed -> if (outcome.record.ownership.owner == self.id) onUnsettled(record.id)
            is CreateOutcome.Unknown -> onUnsettled(record.id)
            is CreateOutcome.NotCreated -> Unit
        }
        return outcome
    }

    private fun outcomeOf(
        id: BatchId,
        outcome: CreateOutcome,
    ): SubmitOutcome =
        when (outcome) {
            is CreateOutcome.Created -> SubmitOutcome.Accepted
            is CreateOutcome.Existed -> {
                remote.found(id, outcome.record.ownership)
                SubmitOutcome.Accepted
            }
            is CreateOutcome.NotCreated -> SubmitOutcome.Refused(outcome.detail, RETRY_AFTER_MILLIS)
            is CreateOutcome.Unknown -> SubmitOutcome.Unknown(outcome.detail)
        }

    private companion object {
        private const val NONCE_RADIX = 36

        /** The key-value service is tried for seconds before a refusal; most of its troubles are over by then. */
        private const val RETRY_AFTER_MILLIS = 1_000L

        /** Other entries take it at once. */
        private const val LEAVING_RETRY_MILLIS = 100L
    }
}
