package bergamotwall.gateway.batches

import bergamotwall.gateway.routes.Route
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.runtime.Decision
import bergamotwall.runtime.read
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/**
 * Accepts batches at this process: stores them durably and adds them to [ownedBatches].
 *
 * The creation of a batch continues if its caller disconnects, because writes that were sent may take effect anyway.
 * A batch that is reported as accepted because it existed before may have lost its owner, which [orphanWatch] notices.
 * Confined to the batch loop, on which [scope] runs.
 */
internal class LocalSubmissions(
    private val scope: CoroutineScope,
    private val dependencies: BatchDependencies,
    private val settings: BatchSettings,
    private val ownedBatches: OwnedBatches,
    private val remoteBatches: RemoteBatches,
    private val orphanWatch: OrphanWatch,
) {
    private val creator = BatchCreator(dependencies.store, dependencies.registration, settings.partChars)
    private val store = BatchStore(dependencies.store)
    private val inProgress = MutableStateFlow(emptyList<BatchId>())

    /** Whether a submission of [id] is in progress. */
    fun isInProgress(id: BatchId): Boolean = id in inProgress.value

    /** Waits until no submission is in progress. */
    suspend fun awaitCompletion() {
        inProgress.first { it.isEmpty() }
    }

    /** Stores [record], that of the submission [large] if it is not null, and runs it; refused if not ready. */
    suspend fun submit(
        record: BatchRecord,
        route: Route,
        large: LargeSubmission? = null,
    ): SubmitOutcome = decidedOutcome(record) ?: createAndRecord(record, large, route)

    /** The outcome of submitting [record] if this process knows it without a call; null if it is to be created. */
    fun decidedOutcome(record: BatchRecord): SubmitOutcome? {
        val ready = dependencies.self().ready
        val existing = ownedBatches.find(record.id)
        return when {
            existing != null -> outcomeOfExisting(record, existing.known.record.ownership)
            ready -> null
            else -> SubmitOutcome.Refused("this process is not ready", NOT_READY_RETRY_MILLIS)
        }
    }

    private suspend fun createAndRecord(
        record: BatchRecord,
        large: LargeSubmission?,
        route: Route,
    ): SubmitOutcome {
        val outcome = scope.async { trackInProgress(record.id) { create(record, large, route) } }.await()
        dependencies.shared.metrics.submitted(route.name, outcome.javaClass.simpleName)
        dependencies.shared.journal.record(
            Decision(
                subject = "batch/${record.id.value}",
                decision = "submission: $outcome",
                rule = "created if absent",
                inputs = "route ${route.name}, ${record.items.size} items, versions from ${record.minVersion.value}",
            ),
        )
        return outcomeOf(record, outcome)
    }

    private suspend fun trackInProgress(
        id: BatchId,
        create: suspend () -> CreateOutcome,
    ): CreateOutcome {
        inProgress.value += id
        try {
            return create()
        } finally {
            inProgress.value -= id
        }
    }

    private suspend fun create(
        record: BatchRecord,
        large: LargeSubmission?,
        route: Route,
    ): CreateOutcome {
        val self = dependencies.self()
        val requested =
            BatchOwnership(
                owner = self.id,
                incarnation = self.incarnation,
                nonce = dependencies.shared.random.nextLong().toULong().toString(NONCE_RADIX),
                parts = 0,
                total = record.items.size,
                acceptedAtMillis = dependencies.shared.clock.wallMillis(),
                route = route.name,
                workspace = record.workspace,
            )
        val sentAt = dependencies.shared.clock.read()
        val text = large?.let { LargeRecordText(it, settings.partChars) }
        val acceptMillis = settings.acceptMillis * (1 + (large?.chars ?: 0) / CHARS_PER_ACCEPT_TIME)
        val deadlineMillis = sentAt.monotonicMillis + acceptMillis
        val retries = RetrySchedule(dependencies.shared.clock, dependencies.shared.random, deadlineMillis)
        val outcome =
            if (text == null) {
                creator.create(record, requested, retries)
            } else {
                creator.create(record.id, text.chunks(), requested, retries)
            }
        when (outcome) {
            is CreateOutcome.Created ->
                ownedBatches.add(
                    OwnedBatch(
                        if (large == null) record else record.withoutBodies(),
                        ownedBatches.known(outcome.record, sentAt),
                        route,
                        dependencies.shared.clock.monotonicMillis(),
                        emptyList(),
                    ).also { it.bodies = text?.let { stored -> store.bodies(record.id, requested.nonce, stored) } },
                )
            is CreateOutcome.Unknown -> orphanWatch.unconfirmed(record.id)
            is CreateOutcome.Existed, is CreateOutcome.NotCreated -> Unit
        }
        return outcome
    }

    /** The outcome of submitting [record] again: a batch of another workspace is not reported as accepted. */
    private fun outcomeOfExisting(
        record: BatchRecord,
        existing: BatchOwnership,
    ): SubmitOutcome {
        val active = dependencies.shared.gatewayState.routes.read().workspaces.active
        val foreign = active && existing.workspace != null && existing.workspace != record.workspace
        return if (foreign) SubmitOutcome.Foreign else SubmitOutcome.Accepted
    }

    /** The outcome of submitting [record] when [stored] is in the key-value service. */
    private fun outcomeOfStored(
        record: BatchRecord,
        stored: OwnershipRecord,
    ): SubmitOutcome {
        val ownership = stored.ownership
        if (ownership.withdrawn) {
            return SubmitOutcome.Refused("the batch was ended before it was stored", RETRY_AFTER_MILLIS)
        }
        remoteBatches.rememberOwner(record.id, ownership)
        orphanWatch.ownershipRead(record.id, ownership)
        return outcomeOfExisting(record, ownership)
    }

    private fun outcomeOf(
        record: BatchRecord,
        outcome: CreateOutcome,
    ): SubmitOutcome =
        when (outcome) {
            is CreateOutcome.Created -> SubmitOutcome.Accepted
            is CreateOutcome.Existed -> outcomeOfStored(record, outcome.record)
            is CreateOutcome.NotCreated -> SubmitOutcome.Refused(outcome.detail, RETRY_AFTER_MILLIS)
            is CreateOutcome.Unknown -> SubmitOutcome.Unknown(outcome.detail)
        }

    private companion object {
        private const val NONCE_RADIX = 36

        /** About as much as is stored at once for other batches, for which [BatchSettings.acceptMillis] is enough. */
        private const val CHARS_PER_ACCEPT_TIME = 10_000_000

        /** A refusal follows seconds of retries, after which most outages of the key-value service are over. */
        private const val RETRY_AFTER_MILLIS = 1_000L

        /** Short, because other entry processes are ready and accept the batch at once. */
        private const val NOT_READY_RETRY_MILLIS = 100L
    }
}
