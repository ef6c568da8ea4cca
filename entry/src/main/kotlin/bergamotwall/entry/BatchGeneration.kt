package bergamotwall.entry

import bergamotwall.decisions.HandOver
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
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.UUID

/** Generates what is missing of one batch. */
internal class BatchGeneration(
    private val parts: BatchParts,
    private val trainer: TrainerIntent,
    private val number: Long,
    private val order: BatchOrder,
    private val samples: BatchSamples,
) {
    private val node = parts.node

    /** Runs until every group that [handOver] names has what it misses, or one cannot get it. */
    suspend fun fill(handOver: HandOver): Result<Unit, Problem> {
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
        val left = GroupSpec(spec.prompt, missing + spec.n - spec.enough, missing, spec.maxTokens)
        val round = UUID.randomUUID().toString().take(ROUND_CHARS)
        val name = "${trainer.name.value}/$number/$group/$round"
        return parts.groups.run(name, left, parts.tail, { generation(spec, "$name-$it") }, Listener(group, name))
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
            deadlineMillis = node.clock.monotonicMillis() + GENERATION_MILLIS,
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
            return samples.keep(
                Sample(id, group, generation.versions, generation.text, generation.tokens, generation.engines)
            )
        }

        override suspend fun pause(problem: Problem) {
            if (problem.kind !in FATAL) delay(problem.retryAfterMillis ?: RETRY_MILLIS)
        }

        override suspend fun failed(
            number: Int,
            problem: Problem,
        ): Problem? = problem.takeIf { it.kind in FATAL }
    }

    private companion object {
        private const val ROUND_CHARS = 8
        private const val GENERATION_MILLIS = 900_000L
        private const val RETRY_MILLIS = 200L
        private val FATAL = setOf(ProblemKind.QUARANTINED, ProblemKind.BAD_REQUEST, ProblemKind.NOT_FOUND)
    }
}
