package bergamotwall.entry

import bergamotwall.decisions.FailedAttempt
import bergamotwall.decisions.RetryDecision
import bergamotwall.decisions.decideRetry
import bergamotwall.decisions.fingerprintOf
import bergamotwall.decisions.prefixOf
import bergamotwall.drivers.EngineDriver
import bergamotwall.drivers.EnginePiece
import bergamotwall.drivers.EngineRequest
import bergamotwall.drivers.TargetError
import bergamotwall.model.Finished
import bergamotwall.model.Granted
import bergamotwall.model.Offer
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
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
 * Runs generations: permit, engine, and on a break another engine that resumes where the first broke off.
 *
 * Guarantees: the label holds exactly the versions named in the pieces; a generation that is not whole is never
 * returned as one; each piece is given on once.
 */
internal class GenerationRunner(
    private val node: Node,
    private val permits: PermitSource,
    private val engines: EngineDriver,
    private val budgets: Budgets,
) {
    suspend fun run(
        order: GenerationOrder,
        onPiece: suspend (EnginePiece) -> Unit,
    ): Result<Generation, Problem> =
        node.tracing.hop("generation", order.trace) { hop ->
            hop.note("request", order.request.value)
            Run(order, hop.traceparent, onPiece).attempts()
        }

    private fun journal(
        order: GenerationOrder,
        decision: String,
        rule: String,
        cause: String,
        inputs: String,
    ): Unit = node.journal.record(Decision("request/${order.request.value}", decision, rule, cause, inputs))

    private inner class Run(
        private val order: GenerationOrder,
        private val trace: String,
        private val onPiece: suspend (EnginePiece) -> Unit,
    ) {
        private val startedMillis = node.clock.monotonicMillis()
        private val text = StringBuilder()
        private val versions = LinkedHashSet<WeightVersion>()
        private val used = LinkedHashSet<TargetId>()
        private var lastFailed: TargetId? = null
        private var tokens = 0
        private var firstTokenMillis = 0L
        private var finishReason = ""

        suspend fun attempts(): Result<Generation, Problem> {
            budgets.attempted(order.caller.value)
            var attempt = 1
            var result: Result<Generation, Problem>? = null
            while (result == null) {
                val offer = offer(attempt)
                result =
                    permits.acquire(offer, trace).fold(
                        success = { permit ->
                            attempt(offer, permit).fold({ Ok(whole()) }, { failed(attempt, it, permit.target) })
                        },
                        failure = { Err(if (tokens > 0) it.copy(runState = RunState.RAN) else it) },
                    )
                attempt++
            }
            return result
        }

        /** The final answer after a failed attempt, or null after the pause before the next one. */
        private suspend fun failed(
            attempt: Int,
            error: TargetError,
            target: TargetId,
        ): Result<Generation, Problem>? =
            when (val retry = decide(attempt, error, target)) {
                is RetryDecision.GiveUp -> Err(givenUp(retry, error))
                is RetryDecision.Retry -> {
                    delay(retry.delayMillis)
                    null
                }
            }

        private suspend fun attempt(
            offer: Offer,
            permit: Granted,
        ): Result<Unit, TargetError> {
            val attemptMillis = node.clock.monotonicMillis()
            var outcome = RunOutcome.CANCELLED
            try {
                val result =
                    node.tracing.hop("engine", trace) { hop ->
                        hop.note("target", permit.target.value)
                        engines.complete(
                            permit.address,
                            requestOf(offer, hop.traceparent, order, text.toString(), tokens)
                        ) { piece(it, permit.target, attemptMillis) }
                    }
                outcome = result.fold({ RunOutcome.WHOLE }, { outcomeOf(it) })
                return result
            } finally {
                permits.finish(finished(offer, permit, outcome, attemptMillis))
            }
        }

        private suspend fun piece(
            piece: EnginePiece,
            target: TargetId,
            attemptMillis: Long,
        ) {
            if (piece.text.isNotEmpty()) {
                versions += piece.version
                used += target
            }
            if (firstTokenMillis == 0L) firstTokenMillis = maxOf(1, node.clock.monotonicMillis() - attemptMillis)
            text.append(piece.text)
            tokens += piece.tokens
            finishReason = piece.finishReason ?: finishReason
            onPiece(piece)
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
                    budgetLeft = budgets.take(order.caller.value),
                    nowMillis = node.clock.monotonicMillis(),
                    deadlineMillis = order.deadlineMillis,
                )
            val decision = decideRetry(failed, node.random)
            val verb = if (decision is RetryDecision.Retry) "retried" else "gave up"
            node.metrics.retries.labelValues(failed.outcome.name).inc()
            journal(order, verb, decision.toString(), error.detail, "attempt $attempt on ${target.value}")
            return decision
        }

        private fun offer(attempt: Int): Offer =
            Offer(
                request = RequestId("${order.request.value}.$attempt"),
                requester = node.id,
                serves = order.model,
                priorityClass = order.priorityClass,
                flow = order.flow,
                sequence = order.sequence,
                prefix = prefixOf(order.prompt),
                fingerprint = fingerprintOf(order.model, order.prompt),
                minVersion = order.minVersion(),
                expectedTokens = order.maxTokens,
                deadlineInMillis = order.deadlineMillis - node.clock.monotonicMillis(),
                excluded = setOfNotNull(lastFailed),
                dataCentre = node.settings.dataCentre,
            )

        private fun finished(
            offer: Offer,
            permit: Granted,
            outcome: RunOutcome,
            attemptMillis: Long,
        ): Finished =
            finishedOf(offer, permit, outcome, node.clock.monotonicMillis() - attemptMillis)
                .copy(firstTokenMillis = firstTokenMillis, tokens = tokens, versions = versions.toList())

        private fun whole(): Generation {
            journal(
                order,
                "whole",
                "the engine closed the stream",
                "",
                "$tokens tokens, versions ${versions.map { it.value }}"
            )
            val durationMillis = node.clock.monotonicMillis() - startedMillis
            return Generation(text.toString(), tokens, versions.toList(), used.toList(), finishReason, durationMillis)
        }

        private fun givenUp(
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

internal fun outcomeOf(error: TargetError): RunOutcome =
    when (error) {
        is TargetError.NotStarted, is TargetError.Rejected -> RunOutcome.NOT_STARTED
        is TargetError.Broken -> RunOutcome.BROKEN
    }

private fun requestOf(
    offer: Offer,
    traceparent: String,
    order: GenerationOrder,
    resumeFrom: String,
    tokens: Int,
): EngineRequest =
    EngineRequest(offer.request.value, order.model, order.prompt, order.maxTokens - tokens, resumeFrom, traceparent)
