package bergamotwall.entry

import bergamotwall.decisions.batches.BatchStep
import bergamotwall.decisions.batches.DeliverySelection
import bergamotwall.decisions.batches.decideBatch
import bergamotwall.decisions.batches.isFresh
import bergamotwall.decisions.hashOf
import bergamotwall.drivers.KeyValueError
import bergamotwall.model.Batch
import bergamotwall.model.BatchOrder
import bergamotwall.model.Jsons
import bergamotwall.model.Manifest
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.Sample
import bergamotwall.model.TrainerIntent
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Decision
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay

/** Hash that identifies retries of the same order. */
internal fun orderHash(order: BatchOrder): Long = hashOf(Jsons.wire.encodeToString(BatchOrder.serializer(), order))

/**
 * Assembles one batch: generates and stores the missing samples, commits the manifest and delivers the batch.
 *
 * Guarantees: a batch is delivered only after its manifest is committed, and only if every sample in it is within the
 * staleness bound of the version published at that moment; the batch is redelivered on request until the trainer orders
 * the next one.
 */
internal class BatchJob(
    private val dependencies: BatchDependencies,
    private val trainer: TrainerIntent,
    private val number: Long,
    private val order: BatchOrder,
    private val stats: TrainerStatsRef,
) {
    private val node = dependencies.node
    private val samples = BatchSamples(node, dependencies.stores, trainer, number, stats)
    private val generation = BatchGeneration(dependencies, trainer, number, order, samples)

    suspend fun run(): Result<Batch, Problem> {
        stats.updateAndGet { it.opened(number, order.groups.sumOf { g -> g.enough }, node.clock.monotonicMillis()) }
        val state = readState()
        return when (val step = decideBatch(number, orderHash(order), state.manifest)) {
            is BatchStep.OutOfOrder -> Err(outOfOrder(step.committed))
            is BatchStep.Changed -> Err(
                Problem(ProblemKind.CONFLICT, "batch $number was ordered before with different groups")
            )
            is BatchStep.Redeliver -> redeliver(step.manifest, state)
            is BatchStep.Generate -> {
                if (number > 1) dependencies.stores.release(trainer.name, number - 1)
                samples.fetch()
                generation.scoreStored()
                assemble(step.attempt)
            }
        }
    }

    /** Delivers the batch of a committed [manifest], or assembles a new one if its samples are lost or have expired. */
    private suspend fun redeliver(
        manifest: Manifest,
        state: DeliveryState,
    ): Result<Batch, Problem> {
        samples.fetch()
        val committed = manifest.entries.mapNotNull { samples.find(it.id) }
        val complete = committed.size == manifest.entries.size
        val fresh = committed.all { isFresh(it, state.published, trainer.stalenessBoundVersions) }
        if (complete && fresh) return Ok(deliver(manifest.attempt, committed, state.published))
        val cause = if (complete) "samples became too old" else "a sample store was lost"
        journal("attempt ${manifest.attempt + 1}", "not acknowledged and can no longer be delivered", cause)
        generation.scoreStored()
        return assemble(manifest.attempt + 1)
    }

    /** Generates and commits until a manifest is committed, by this job or first by another entry. */
    private suspend fun assemble(attempt: Int): Result<Batch, Problem> {
        var result: Result<Batch, Problem>? = null
        while (result == null) {
            val published = node.fleetState.published.read().of(trainer.model)
            val filled = generation.fill(samples.selectForDelivery(order, published))
            result = if (filled.isErr) Err(filled.error) else commitOrRedeliver(attempt, readState())
        }
        return result
    }

    /** The result of the job, or null if it has to generate and commit once more. */
    private suspend fun commitOrRedeliver(
        attempt: Int,
        state: DeliveryState,
    ): Result<Batch, Problem>? {
        val committed = state.manifest
        val selection = samples.selectForDelivery(order, state.published)
        return when {
            committed != null && committed.batch > number -> Err(outOfOrder(committed.batch))
            committed != null && committed.batch == number && committed.attempt >= attempt -> {
                journal("another entry committed first", "compare-and-swap", "attempt ${committed.attempt}")
                redeliver(committed, state)
            }
            selection.complete && commit(attempt, selection, state) ->
                Ok(deliver(attempt, selection.fresh, state.published))
            else -> null
        }
    }

    private suspend fun commit(
        attempt: Int,
        selection: DeliverySelection,
        state: DeliveryState,
    ): Boolean {
        val entries = selection.fresh.map { samples.entryOf(it) }
        val manifest = Manifest(trainer.name, number, attempt, entries, orderHash(order))
        return dependencies.manifests.commit(manifest, trainer.model, state).fold(
            success = { it },
            failure = { error ->
                waitForStore(error)
                false
            },
        )
    }

    private fun deliver(
        attempt: Int,
        delivered: List<Sample>,
        published: WeightVersion,
    ): Batch {
        stats.updateAndGet { it.closed(delivered, published, node.clock.monotonicMillis()) }
        journal("delivered", "manifest committed, all samples within the staleness bound", "attempt $attempt")
        return Batch(trainer.name, number, attempt, published, delivered)
    }

    private suspend fun readState(): DeliveryState {
        var state: DeliveryState? = null
        while (state == null) {
            state =
                dependencies.manifests.read(trainer.name, trainer.model).fold(
                    success = { it },
                    failure = { error ->
                        waitForStore(error)
                        null
                    },
                )
        }
        return state
    }

    private suspend fun waitForStore(error: KeyValueError) {
        journal("waits", "no batch is delivered before its manifest is committed", error.detail)
        delay(RETRY_MILLIS)
    }

    private fun outOfOrder(committed: Long): Problem =
        Problem(
            ProblemKind.CONFLICT,
            "batch $number does not follow batch $committed: order $committed or ${committed + 1}"
        )

    private fun journal(
        decision: String,
        rule: String,
        cause: String,
    ): Unit = node.journal.record(Decision("batch/${trainer.name.value}/$number", decision, rule, cause))

    private companion object {
        private const val RETRY_MILLIS = 200L
    }
}
