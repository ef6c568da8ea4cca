package bergamotwall.entry

import bergamotwall.decisions.BatchStep
import bergamotwall.decisions.HandOver
import bergamotwall.decisions.decideBatch
import bergamotwall.decisions.hashOf
import bergamotwall.decisions.isFresh
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

/** Hash by which an order is recognised when it is sent again. */
internal fun orderHash(order: BatchOrder): Long = hashOf(Jsons.wire.encodeToString(BatchOrder.serializer(), order))

/**
 * Assembles one batch: generates what is missing, stores it, commits the manifest, hands it out.
 *
 * Guarantees: a batch is handed out only after its manifest is committed, and only while every sample in it is within
 * the staleness bound of the version published at that moment; the same number is handed out again until the next one
 * is ordered.
 */
internal class BatchJob(
    private val parts: BatchParts,
    private val trainer: TrainerIntent,
    private val number: Long,
    private val order: BatchOrder,
    private val stats: TrainerStatsRef,
) {
    private val node = parts.node
    private val samples = BatchSamples(node, parts.stores, trainer, number, stats)
    private val generation = BatchGeneration(parts, trainer, number, order, samples)

    suspend fun run(): Result<Batch, Problem> {
        stats.updateAndGet { it.opened(number, order.groups.sumOf { g -> g.enough }, node.clock.monotonicMillis()) }
        val state = readState()
        return when (val step = decideBatch(number, orderHash(order), state.manifest)) {
            is BatchStep.OutOfOrder -> Err(outOfOrder(step.committed))
            is BatchStep.Changed -> Err(
                Problem(ProblemKind.CONFLICT, "batch $number was ordered with other groups before")
            )
            is BatchStep.HandOutAgain -> again(step.manifest, state)
            is BatchStep.Generate -> {
                if (number > 1) parts.stores.release(trainer.name, number - 1)
                samples.fetch()
                assemble(step.attempt)
            }
        }
    }

    private suspend fun again(
        manifest: Manifest,
        state: HandOverState,
    ): Result<Batch, Problem> {
        samples.fetch()
        val committed = manifest.entries.mapNotNull { samples.find(it.id) }
        val whole = committed.size == manifest.entries.size
        val fresh = committed.all { isFresh(it, state.published, trainer.stalenessBoundVersions) }
        if (whole && fresh) return Ok(handOut(manifest.attempt, committed, state.published))
        val cause = if (whole) "samples became too old" else "a sample store was lost"
        journal("attempt ${manifest.attempt + 1}", "not acknowledged and not fit to hand out", cause)
        return assemble(manifest.attempt + 1)
    }

    /** Generates and commits until a manifest stands: this one's, or that of another entry that came first. */
    private suspend fun assemble(attempt: Int): Result<Batch, Problem> {
        var result: Result<Batch, Problem>? = null
        while (result == null) {
            val published = node.board.published.read().of(trainer.model)
            val filled = generation.fill(samples.handOver(order, published))
            result = if (filled.isErr) Err(filled.error) else settle(attempt, readState())
        }
        return result
    }

    private suspend fun settle(
        attempt: Int,
        state: HandOverState,
    ): Result<Batch, Problem>? {
        val committed = state.manifest
        val handOver = samples.handOver(order, state.published)
        return when {
            committed != null && committed.batch > number -> Err(outOfOrder(committed.batch))
            committed != null && committed.batch == number && committed.attempt >= attempt -> {
                journal("another entry committed first", "compare-and-swap", "attempt ${committed.attempt}")
                again(committed, state)
            }
            handOver.complete && commit(attempt, handOver, state) ->
                Ok(handOut(attempt, handOver.fresh, state.published))
            else -> null
        }
    }

    private suspend fun commit(
        attempt: Int,
        handOver: HandOver,
        state: HandOverState,
    ): Boolean {
        val entries = handOver.fresh.map { samples.entryOf(it) }
        val manifest = Manifest(trainer.name, number, attempt, entries, orderHash(order))
        return parts.manifests.commit(manifest, trainer.model, state).fold(
            success = { it },
            failure = { error ->
                pause(error)
                false
            },
        )
    }

    private fun handOut(
        attempt: Int,
        chosen: List<Sample>,
        published: WeightVersion,
    ): Batch {
        stats.updateAndGet { it.closed(chosen, published, node.clock.monotonicMillis()) }
        journal("handed out", "committed manifest, all within the bound", "attempt $attempt")
        return Batch(trainer.name, number, attempt, published, chosen)
    }

    private suspend fun readState(): HandOverState {
        var state: HandOverState? = null
        while (state == null) {
            state =
                parts.manifests.read(trainer.name, trainer.model).fold(
                    success = { it },
                    failure = { error ->
                        pause(error)
                        null
                    },
                )
        }
        return state
    }

    private suspend fun pause(error: KeyValueError) {
        journal("waits", "nothing is handed out without a commit", error.detail)
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
