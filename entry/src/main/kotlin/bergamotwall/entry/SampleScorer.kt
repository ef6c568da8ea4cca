package bergamotwall.entry

import bergamotwall.decisions.admission.backoffMillis
import bergamotwall.decisions.fingerprintOf
import bergamotwall.drivers.ServiceRequest
import bergamotwall.drivers.ServiceResponse
import bergamotwall.model.CallerIntent
import bergamotwall.model.CallerName
import bergamotwall.model.Jsons
import bergamotwall.model.PriorityClass
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.RewarderIntent
import bergamotwall.model.RunState
import bergamotwall.model.Sample
import bergamotwall.model.ScoreRequest
import bergamotwall.model.TrainerIntent
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay

/** Has samples scored by the service that the intent of their trainer names, through [calls]. */
internal class SampleScorer(private val node: Node, private val calls: ServiceCalls) {
    /**
     * Returns the score of [sample], which was generated for [prompt]. Waits while no target runs the call; fails once
     * [rewarder]'s attempts have failed.
     */
    suspend fun score(
        trainer: TrainerIntent,
        rewarder: RewarderIntent,
        prompt: String,
        sample: Sample,
    ): Result<String, Problem> {
        var failed = 0
        while (failed < rewarder.maxAttempts) {
            val outcome =
                node.tracing.hop("reward", null) { hop ->
                    calls.run(callOf(trainer, rewarder, prompt, sample), hop.traceparent)
                }
            val score = outcome.fold({ scoreOf(it) }, { null })
            val cause = outcome.fold({ "status ${it.status}" }, { "${it.kind.slug}: ${it.detail}" })
            record(sample, rewarder, cause, score)
            if (score != null) return Ok(score)
            val notRun = outcome.fold({ false }, { it.runState == RunState.NOT_RUN })
            if (!notRun) failed++
            delay(outcome.fold({ null }, { it.retryAfterMillis }) ?: backoffMillis(failed, node.random))
        }
        return Err(Problem(ProblemKind.TARGET_FAILED, "the rewarder failed ${rewarder.maxAttempts} times"))
    }

    private fun scoreOf(response: ServiceResponse): String? =
        response.body.trim().takeIf { response.status in SUCCESSFUL && it.length in 1..MAX_SCORE_CHARS }

    private fun callOf(
        trainer: TrainerIntent,
        rewarder: RewarderIntent,
        prompt: String,
        sample: Sample,
    ): ServiceCall {
        val body = Jsons.wire.encodeToString(ScoreRequest.serializer(), ScoreRequest(sample.id, prompt, sample.text))
        val key = "reward-${sample.id.value}"
        return ServiceCall(
            id = RequestId(key),
            service = rewarder.service.value,
            caller = CallerIntent(CallerName(trainer.name.value), trainer.key, PriorityClass.TRAINING),
            // Training waits behind application callers of the same service.
            priorityClass = PriorityClass.TRAINING,
            idempotent = true,
            key = key,
            fingerprint = fingerprintOf(rewarder.service.value, "POST ${rewarder.path}\n$body"),
            request =
            ServiceRequest("POST", rewarder.path, "application/json", body, key, rewarder.timeoutMillis),
            deadlineMillis = node.clock.monotonicMillis() + rewarder.timeoutMillis,
        )
    }

    private fun record(
        sample: Sample,
        rewarder: RewarderIntent,
        outcome: String,
        score: String?,
    ) {
        node.metrics.rewards.labelValues(if (score == null) "failed" else "scored").inc()
        node.journal.record(
            Decision(
                subject = "sample/${sample.id.value}",
                decision = if (score == null) "not scored" else "scored",
                rule = "a sample counts once it is scored",
                cause = outcome,
                inputs = "service ${rewarder.service.value}, path ${rewarder.path}",
            ),
        )
    }

    private companion object {
        private val SUCCESSFUL = 200..299

        /** A score is a number or a short record, and is stored beside each sample. */
        private const val MAX_SCORE_CHARS = 1_024
    }
}
