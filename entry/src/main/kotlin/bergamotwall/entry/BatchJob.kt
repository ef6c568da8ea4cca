package bergamotwall.entry

import bergamotwall.decisions.BatchStep
import bergamotwall.decisions.TailEstimator
import bergamotwall.decisions.decideBatch
import bergamotwall.decisions.decideHandOver
import bergamotwall.decisions.hashOf
import bergamotwall.decisions.isFresh
import bergamotwall.model.Batch
import bergamotwall.model.BatchOrder
import bergamotwall.model.CallerName
import bergamotwall.model.GroupSpec
import bergamotwall.model.Jsons
import bergamotwall.model.Manifest
import bergamotwall.model.ManifestEntry
import bergamotwall.model.PriorityClass
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.RunState
import bergamotwall.model.Sample
import bergamotwall.model.SampleId
import bergamotwall.model.TrainerIntent
import bergamotwall.model.WeightVersion
import bergamotwall.platform.KeyValueError
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap

/** Hash by which an order is recognised when it is sent again. */
internal fun orderHash(order: BatchOrder): Long = hashOf(Jsons.wire.encodeToString(BatchOrder.serializer(), order))

/** What a [BatchJob] works with. */
internal class BatchParts(
    val node: Node,
    val groups: GroupRunner,
    val stores: SampleStores,
    val manifests: Manifests,
    val tail: TailEstimator,
)

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
    private val samples = ConcurrentHashMap<SampleId, StoredSample>()
    private val nonce = UUID.randomUUID().toString().take(NONCE_CHARS)
    private val subject = "batch/${trainer.name.value}/$number"

    suspend fun run(): Result<Batch, Problem> {
        stats.updateAndGet { it.opened(number, order.groups.sumOf { g -> g.enough }, now()) }
        val state = readState()
        return when (val step = decideBatch(number, orderHash(order), state.manifest)) {
            is BatchStep.OutOfOrder -> Err(outOfOrder(step.committed))
            is BatchStep.Changed -> Err(Problem(ProblemKind.CONFLICT, "batch $number was ordered with other groups before"))
            is BatchStep.HandOutAgain -> again(step.manifest, state)
            is BatchStep.Generate -> {
                if (number > 1) parts.stores.release(trainer.name, number - 1)
                collect(parts.stores.fetch(trainer.name, number))
                assemble(step.attempt)
            }
        }
    }

    private suspend fun again(
        manifest: Manifest,
        state: HandOverState,
    ): Result<Batch, Problem> {
        collect(parts.stores.fetch(trainer.name, number))
        val committed = manifest.entries.mapNotNull { samples[it.id]?.sample }
        val whole = committed.size == manifest.entries.size
        val fresh = committed.all { isFresh(it, state.published, trainer.stalenessBoundVersions) }
        if (whole && fresh) return Ok(handOut(manifest.attempt, committed, state.published))
        val cause = if (whole) "samples became too old" else "a sample store was lost"
        journal("attempt ${manifest.attempt + 1}", "not acknowledged and not fit to hand out", cause)
        return assemble(manifest.attempt + 1)
    }

    private suspend fun assemble(attempt: Int): Result<Batch, Problem> {
        while (true) {
            generateMissing().fold(success = { }, failure = { return Err(it) })
            val state = readState()
            val committed = state.manifest
            if (committed != null && (committed.batch > number || committed.batch == number && committed.attempt >= attempt)) {
                return superseded(committed, state)
            }
            val handOver = decideHandOver(order, stored(), state.published, trainer.stalenessBoundVersions)
            expire(handOver.expired, state.published)
            if (handOver.complete && commit(attempt, handOver.fresh, state)) {
                return Ok(handOut(attempt, handOver.fresh, state.published))
            }
        }
    }

    private suspend fun superseded(
        committed: Manifest,
        state: HandOverState,
    ): Result<Batch, Problem> =
        if (committed.batch == number) {
            journal("another entry committed first", "compare-and-swap", "attempt ${committed.attempt}")
            again(committed, state)
        } else {
            Err(outOfOrder(committed.batch))
        }

    private suspend fun commit(
        attempt: Int,
        chosen: List<Sample>,
        state: HandOverState,
    ): Boolean {
        val entries = chosen.map { ManifestEntry(it.id, it.versions, samples.getValue(it.id).stores) }
        val manifest = Manifest(trainer.name, number, attempt, entries, orderHash(order))
        return parts.manifests.commit(manifest, trainer.model, state).fold(
            success = { it },
            failure = { error ->
                pause(error)
                false
            },
        )
    }

    private suspend fun generateMissing(): Result<Unit, Problem> {
        val published = node.board.published.read().of(trainer.model)
        val handOver = decideHandOver(order, stored(), published, trainer.stalenessBoundVersions)
        expire(handOver.expired, published)
        val results =
            coroutineScope {
                handOver.missingByGroup.map { (group, missing) -> async { generate(group, missing) } }.awaitAll()
            }
        return results.firstOrNull { it.isErr } ?: Ok(Unit)
    }

    private suspend fun generate(
        group: Int,
        missing: Int,
    ): Result<Unit, Problem> {
        val spec = order.groups[group]
        val spares = spec.n - spec.enough
        val left = GroupSpec(spec.prompt, missing + spares, missing, spec.maxTokens)
        val round = UUID.randomUUID().toString().take(NONCE_CHARS)
        val name = "${trainer.name.value}/$number/$group"
        return parts.groups.run(name, left, parts.tail, { generation(spec, "$name/$nonce-$round-$it") }, Listener(group, "$name/$nonce-$round"))
    }

    private fun generation(
        spec: GroupSpec,
        id: String,
    ): GenerationOrder =
        GenerationOrder(
            request = RequestId(id),
            flow = trainer.name.value,
            caller = CallerName(trainer.name.value),
            priorityClass = PriorityClass.TRAINING,
            sequence = number,
            model = trainer.model.value,
            prompt = spec.prompt,
            maxTokens = spec.maxTokens,
            minVersion = { oldestAllowed() },
            deadlineMillis = now() + GENERATION_MILLIS,
            trace = null,
        )

    private fun oldestAllowed(): WeightVersion {
        val published = node.board.published.read().of(trainer.model)
        return WeightVersion(published.value - trainer.stalenessBoundVersions)
    }

    private inner class Listener(private val group: Int, private val name: String) : GroupListener {
        override suspend fun whole(
            number: Int,
            generation: Generation,
        ): Boolean {
            val id = SampleId("$name-$number")
            val sample = Sample(id, group, generation.versions, generation.text, generation.tokens, generation.engines)
            val published = node.board.published.read().of(trainer.model)
            if (!isFresh(sample, published, trainer.stalenessBoundVersions)) {
                expire(listOf(sample), published)
                return false
            }
            return store(sample)
        }

        override suspend fun failed(
            number: Int,
            problem: Problem,
        ): Problem? {
            if (problem.kind in FATAL) return problem
            delay(problem.retryAfterMillis ?: RETRY_MILLIS)
            return null
        }
    }

    private suspend fun store(sample: Sample): Boolean {
        while (true) {
            val stored = parts.stores.store(trainer.name, number, sample)
            if (stored != null) {
                samples[sample.id] = stored
                stats.updateAndGet { it.copy(ready = minOf(it.wanted, it.ready + 1)) }
                return true
            }
            journal("waits", "a sample is kept before it counts", "no sample store answers")
            delay(RETRY_MILLIS)
        }
    }

    private fun collect(found: List<StoredSample>) {
        found.forEach { samples[it.sample.id] = it }
    }

    private fun stored(): List<Sample> = samples.values.map { it.sample }.sortedBy { it.id.value }

    private fun expire(
        expired: List<Sample>,
        published: WeightVersion,
    ) {
        if (expired.isEmpty()) return
        expired.forEach { samples.remove(it.id) }
        stats.updateAndGet { it.copy(expired = it.expired + expired.size) }
        node.metrics.expired.labelValues(trainer.name.value).inc(expired.size.toDouble())
        expired.forEach {
            val inputs = "versions ${it.versions.map { v -> v.value }}, published ${published.value}"
            node.journal.record(Decision("sample/${it.id.value}", "replaced", "older than the staleness bound", "", inputs))
        }
    }

    private fun handOut(
        attempt: Int,
        chosen: List<Sample>,
        published: WeightVersion,
    ): Batch {
        stats.updateAndGet { it.closed(chosen, published, now()) }
        journal("handed out", "committed manifest, all within the bound", "attempt $attempt")
        return Batch(trainer.name, number, attempt, published, chosen)
    }

    private suspend fun readState(): HandOverState {
        while (true) {
            parts.manifests.read(trainer.name, trainer.model).fold(success = { return it }, failure = { pause(it) })
        }
    }

    private suspend fun pause(error: KeyValueError) {
        journal("waits", "nothing is handed out without a commit", error.detail)
        delay(RETRY_MILLIS)
    }

    private fun outOfOrder(committed: Long): Problem =
        Problem(ProblemKind.CONFLICT, "batch $number does not follow batch $committed: order $committed or ${committed + 1}")

    private fun journal(
        decision: String,
        rule: String,
        cause: String,
    ) = node.journal.record(Decision(subject, decision, rule, cause))

    private fun now(): Long = node.clock.monotonicMillis()

    private companion object {
        private const val NONCE_CHARS = 8
        private const val GENERATION_MILLIS = 900_000L
        private const val RETRY_MILLIS = 200L
        private val FATAL = setOf(ProblemKind.QUARANTINED, ProblemKind.BAD_REQUEST, ProblemKind.NOT_FOUND)
    }
}
