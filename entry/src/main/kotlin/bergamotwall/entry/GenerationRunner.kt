package bergamotwall.entry

import bergamotwall.decisions.admission.FailedAttempt
import bergamotwall.decisions.admission.RetryDecision
import bergamotwall.decisions.admission.decideRetry
import bergamotwall.decisions.fingerprintOf
import bergamotwall.decisions.prefixOf
import bergamotwall.drivers.EngineChunk
import bergamotwall.drivers.EngineDriver
import bergamotwall.drivers.EngineRequest
import bergamotwall.drivers.TargetError
import bergamotwall.model.DispatchRequest
import bergamotwall.model.PermitGranted
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.RunFinished
import bergamotwall.model.RunOutcome
import bergamotwall.model.RunState
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay

/**
 * Runs generations: acquires a permit and calls the engine. If the engine fails mid-response, the generation resumes
 * from the text received so far, on another engine where there is one.
 *
 * Guarantees: [Generation.versions] are exactly the versions that the engines named in the chunks with text; a
 * generation is returned only if it is complete; each chunk is passed on once.
 */
internal class GenerationRunner(
    private val node: Node,
    private val permits: PermitSource,
    private val engines: EngineDriver,
    private val retryBudgets: RetryBudgets,
) {
    suspend fun run(
        request: GenerationRequest,
        onChunk: suspend (EngineChunk) -> Unit,
    ): Result<Generation, Problem> =
        node.tracing.hop("generation", request.trace) { hop ->
            hop.addAttribute("request", request.id.value)
            Execution(request, hop.traceparent, onChunk).run()
        }

    private fun journal(
        request: GenerationRequest,
        decision: String,
        rule: String,
        cause: String,
        inputs: String,
    ): Unit = node.journal.record(Decision("request/${request.id.value}", decision, rule, cause, inputs))

    private inner class Execution(
        private val request: GenerationRequest,
        private val trace: String,
        private val onChunk: suspend (EngineChunk) -> Unit,
    ) {
        private val startedMillis = node.clock.monotonicMillis()
        private val text = StringBuilder()
        private val versions = LinkedHashSet<WeightVersion>()
        private val usedEngines = LinkedHashSet<TargetId>()
        private var lastFailed: TargetId? = null
        private var tokens = 0
        private var finishReason = ""

        suspend fun run(): Result<Generation, Problem> {
            retryBudgets.recordFirstAttempt(request.caller.value)
            var attempt = 1
            var result: Result<Generation, Problem>? = null
            while (result == null) {
                val dispatchRequest = dispatchRequest(attempt)
                result =
                    permits.acquire(dispatchRequest, trace).fold(
                        success = { permit ->
                            attempt(dispatchRequest, permit)
                                .fold({ Ok(completed()) }, { handleFailure(attempt, it, permit.target) })
                        },
                        failure = { Err(if (tokens > 0) it.copy(runState = RunState.RAN) else it) },
                    )
                attempt++
            }
            return result
        }

        /** The final result after a failed attempt, or null, once the backoff is over, if it is to be retried. */
        private suspend fun handleFailure(
            attempt: Int,
            error: TargetError,
            target: TargetId,
        ): Result<Generation, Problem>? =
            when (val retry = decide(attempt, error, target)) {
                is RetryDecision.GiveUp -> Err(finalProblem(retry, error))
                is RetryDecision.Retry -> {
                    delay(retry.delayMillis)
                    null
                }
            }

        private suspend fun attempt(
            dispatchRequest: DispatchRequest,
            permit: PermitGranted,
        ): Result<Unit, TargetError> {
            val run = EngineRun(permit.target, node.clock.monotonicMillis())
            var outcome = RunOutcome.CANCELLED
            try {
                val result =
                    node.tracing.hop("engine", trace) { hop ->
                        hop.addAttribute("target", permit.target.value)
                        engines.complete(
                            permit.address,
                            engineRequestOf(dispatchRequest, hop.traceparent, request, text.toString(), tokens)
                        ) { received(it, run) }
                    }
                outcome = result.fold({ RunOutcome.WHOLE }, { outcomeOf(it) })
                return result
            } finally {
                permits.finish(finished(dispatchRequest, permit, outcome, run))
            }
        }

        private suspend fun received(
            chunk: EngineChunk,
            run: EngineRun,
        ) {
            if (chunk.text.isNotEmpty()) {
                versions += chunk.version
                usedEngines += run.target
            }
            run.received(chunk, node.clock.monotonicMillis())
            text.append(chunk.text)
            tokens += chunk.tokens
            finishReason = chunk.finishReason ?: finishReason
            onChunk(chunk)
        }

        private fun decide(
            attempt: Int,
            error: TargetError,
            target: TargetId,
        ): RetryDecision {
            if (error is TargetError.Rejected) {
                return RetryDecision.GiveUp(
                    ProblemKind.BAD_REQUEST,
                    RunState.NOT_RUN,
                    "rejected"
                )
            }
            lastFailed = target
            val failed =
                FailedAttempt(
                    attempt = attempt,
                    outcome = outcomeOf(error),
                    idempotent = true,
                    budgetLeft = retryBudgets.tryTake(request.caller.value),
                    nowMillis = node.clock.monotonicMillis(),
                    deadlineMillis = request.deadlineMillis,
                )
            val decision = decideRetry(failed, node.random)
            val decisionText = if (decision is RetryDecision.Retry) "retried" else "gave up"
            node.metrics.retries.labelValues(failed.outcome.name).inc()
            journal(request, decisionText, decision.toString(), error.detail, "attempt $attempt on ${target.value}")
            return decision
        }

        private fun dispatchRequest(attempt: Int): DispatchRequest =
            DispatchRequest(
                id = RequestId("${request.id.value}.$attempt"),
                requester = node.id,
                serves = request.model,
                priorityClass = request.priorityClass,
                flow = request.flow,
                sequence = request.sequence,
                prefix = prefixOf(request.prompt),
                fingerprint = fingerprintOf(request.model, request.prompt),
                minVersion = request.minVersion(),
                expectedTokens = request.maxTokens,
                deadlineInMillis = request.deadlineMillis - node.clock.monotonicMillis(),
                excluded = setOfNotNull(lastFailed),
                dataCentre = node.settings.dataCentre,
                fromBatch = request.fromBatch,
            )

        private fun finished(
            dispatchRequest: DispatchRequest,
            permit: PermitGranted,
            outcome: RunOutcome,
            run: EngineRun,
        ): RunFinished {
            val durationMillis = node.clock.monotonicMillis() - run.startedAtMillis
            return finishedOf(dispatchRequest, permit, outcome, durationMillis).copy(
                firstTokenMillis = run.firstTokenMillis ?: durationMillis,
                tokens = run.tokens,
                versions = run.versions.toList(),
            )
        }

        private fun completed(): Generation {
            journal(
                request,
                "completed",
                "the engine completed the response",
                "",
                "$tokens tokens, versions ${versions.map { it.value }}"
            )
            val durationMillis = node.clock.monotonicMillis() - startedMillis
            return Generation(
                text.toString(),
                tokens,
                versions.toList(),
                usedEngines.toList(),
                finishReason,
                durationMillis
            )
        }

        private fun finalProblem(
            retry: RetryDecision.GiveUp,
            error: TargetError,
        ): Problem {
            val runState = if (tokens > 0) RunState.RAN else retry.runState
            return Problem(retry.kind, "${retry.rule}: ${error.detail}", runState, RETRY_AFTER_MILLIS)
        }
    }

    private companion object {
        private const val RETRY_AFTER_MILLIS = 1_000L
    }
}

/** Outcome to report with the permit of an attempt that failed with [error]. */
internal fun outcomeOf(error: TargetError): RunOutcome =
    when (error) {
        is TargetError.NotStarted, is TargetError.Rejected -> RunOutcome.NOT_STARTED
        is TargetError.Broken -> RunOutcome.BROKEN
    }

private fun engineRequestOf(
    dispatchRequest: DispatchRequest,
    traceparent: String,
    request: GenerationRequest,
    resumeFrom: String,
    tokens: Int,
): EngineRequest =
    EngineRequest(
        dispatchRequest.id.value,
        request.model,
        request.prompt,
        request.maxTokens - tokens,
        resumeFrom,
        traceparent,
    )
