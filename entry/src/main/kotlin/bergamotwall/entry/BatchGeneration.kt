package bergamotwall.entry

import bergamotwall.decisions.batches.DeliverySelection
import bergamotwall.model.BatchOrder
import bergamotwall.model.CallerName
import bergamotwall.model.GroupSpec
import bergamotwall.model.PriorityClass
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.Sample
import bergamotwall.model.SampleId
import bergamotwall.model.TrainerIntent
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.UUID

/** Generates the missing samples of one batch. */
internal class BatchGeneration(
    private val dependencies: BatchDependencies,
    private val trainer: TrainerIntent,
    private val number: Long,
    private val order: BatchOrder,
    private val samples: BatchSamples,
) {
    private val node = dependencies.node

    /** Generates the samples that [selection] reports as missing. Fails if a group cannot be completed. */
    suspend fun fill(selection: DeliverySelection): Result<Unit, Problem> {
        val results =
            coroutineScope {
                selection.missingByGroup.map { (group, missing) -> async { generate(group, missing) } }.awaitAll()
            }
        return results.firstOrNull { it.isErr } ?: Ok(Unit)
    }

    /** Has the samples scored that an earlier job stored, but whose scores are not known. */
    suspend fun scoreStored() {
        coroutineScope {
            samples.takeUnscored().forEach { sample -> launch { scoreStored(sample) } }
        }
    }

    private suspend fun scoreStored(sample: Sample) {
        val spec = order.groups.getOrNull(sample.group) ?: return
        score(sample, spec.prompt).map { samples.addIfFresh(sample.copy(score = it)) }
    }

    /** The score of [sample], null if the trainer has no rewarder. */
    private suspend fun score(
        sample: Sample,
        prompt: String,
    ): Result<String?, Problem> =
        trainer.rewarder?.let { dependencies.scorer.score(trainer, it, prompt, sample) } ?: Ok(null)

    private suspend fun generate(
        group: Int,
        missing: Int,
    ): Result<Unit, Problem> {
        val spec = order.groups[group]
        val remaining = GroupSpec(spec.prompt, missing + spec.n - spec.enough, missing, spec.maxTokens)
        val suffix = UUID.randomUUID().toString().take(SUFFIX_CHARS)
        val name = "${trainer.name.value}/$number/$group/$suffix"
        return dependencies.groups.run(
            name,
            remaining,
            dependencies.tail,
            { requestOf(spec, "$name-$it") },
            Listener(group, name, spec.prompt)
        )
    }

    private fun requestOf(
        spec: GroupSpec,
        id: String,
    ): GenerationRequest =
        GenerationRequest(
            id = RequestId(id),
            flow = trainer.name.value,
            caller = CallerName(trainer.name.value),
            priorityClass = PriorityClass.TRAINING,
            sequence = number,
            model = trainer.model.value,
            prompt = spec.prompt,
            maxTokens = spec.maxTokens,
            minVersion = { oldestAllowedVersion() },
            deadlineMillis = node.clock.monotonicMillis() + GENERATION_TIMEOUT_MILLIS,
            trace = null,
            fromBatch = true,
        )

    private fun oldestAllowedVersion(): WeightVersion {
        val published = node.fleetState.published.read().of(trainer.model)
        return WeightVersion(published.value - trainer.stalenessBoundVersions)
    }

    private inner class Listener(
        private val group: Int,
        private val name: String,
        private val prompt: String,
    ) : GroupListener {
        /** Stores the sample before it is scored, so that another entry repeats the call alone. */
        override suspend fun prepare(
            number: Int,
            generation: Generation,
        ): Result<Generation, Problem> {
            val sample = sampleOf(number, generation)
            val scored = trainer.rewarder != null && samples.storeUnscored(sample)
            return if (scored) score(sample, prompt).map { generation.copy(score = it) } else Ok(generation)
        }

        override suspend fun completed(
            number: Int,
            generation: Generation,
        ): Boolean = samples.addIfFresh(sampleOf(number, generation))

        private fun sampleOf(
            number: Int,
            generation: Generation,
        ): Sample =
            Sample(
                SampleId("$name-$number"),
                group,
                generation.versions,
                generation.text,
                generation.tokens,
                generation.engines,
                generation.score,
            )

        override suspend fun backOff(problem: Problem) {
            if (problem.kind !in FATAL_KINDS) delay(problem.retryAfterMillis ?: RETRY_MILLIS)
        }

        override suspend fun failed(
            number: Int,
            problem: Problem,
        ): Problem? = problem.takeIf { it.kind in FATAL_KINDS }
    }

    private companion object {
        private const val SUFFIX_CHARS = 8
        private const val GENERATION_TIMEOUT_MILLIS = 900_000L
        private const val RETRY_MILLIS = 200L
        private val FATAL_KINDS = setOf(ProblemKind.BAD_REQUEST, ProblemKind.NOT_FOUND)
    }
}
