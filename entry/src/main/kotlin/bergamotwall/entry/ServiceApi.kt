package bergamotwall.entry

import bergamotwall.decisions.ReceiptDecision
import bergamotwall.drivers.ServiceAnswer
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.Receipt
import bergamotwall.model.ReceiptPhase
import bergamotwall.model.RunState
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import bergamotwall.runtime.problemResponse
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.async
import java.util.UUID

/** Serves `/services/{name}/…`: passes calls on to plain services, those that may not be repeated at most once. */
internal class ServiceApi(
    private val node: Node,
    private val reader: ServiceCallReader,
    private val runner: ServiceRunner,
    private val receipts: Receipts,
) {
    suspend fun serve(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val outcome = reader.read(context.pathParam("name").orEmpty(), request).flatMap { run(it) }
        node.metrics.requests.labelValues("service", outcome.fold({ "answered" }, { it.kind.slug })).inc()
        return outcome.fold(
            success = { HttpResponse.of(HttpStatus.valueOf(it.status), MediaType.parse(it.contentType), it.body) },
            failure = { problemResponse(it) },
        )
    }

    private suspend fun run(call: ServiceCall): Result<ServiceAnswer, Problem> =
        node.tracing.hop("service", call.request.trace) { hop ->
            hop.note("request", call.id.value)
            if (call.idempotent) runner.run(call, hop.traceparent) else once(call, hop.traceparent)
        }

    private suspend fun once(
        call: ServiceCall,
        trace: String,
    ): Result<ServiceAnswer, Problem> {
        val attempt = Attempt(call.key, call.fingerprint, UUID.randomUUID().toString())
        return receipts.reserve(attempt).flatMap { decision ->
            val verb = decision::class.simpleName.orEmpty()
            node.journal.record(Decision("request/${call.id.value}", verb, "receipt ${call.key}"))
            when (decision) {
                // The run goes on when its caller leaves, so that a resend finds the answer.
                is ReceiptDecision.Dispatch -> node.scope.async { dispatch(call, attempt, trace) }.await()
                is ReceiptDecision.Replay -> Ok(answerOf(decision.receipt))
                is ReceiptDecision.KeyReused -> Err(keyReused)
                else -> Err(unknown)
            }
        }
    }

    private suspend fun dispatch(
        call: ServiceCall,
        attempt: Attempt,
        trace: String,
    ): Result<ServiceAnswer, Problem> {
        val result = runner.run(call, trace)
        result.fold(
            success = { receipts.complete(attempt, receiptOf(it, attempt)) },
            failure = { problem ->
                if (problem.runState == RunState.NOT_RUN) {
                    receipts.abandon(attempt)
                } else {
                    receipts.complete(attempt, receipts.receipt(ReceiptPhase.UNKNOWN, attempt))
                }
            },
        )
        return result
    }

    private fun receiptOf(
        answer: ServiceAnswer,
        attempt: Attempt,
    ): Receipt {
        if (answer.body.length > MAX_KEPT_CHARS) return receipts.receipt(ReceiptPhase.UNKNOWN, attempt)
        val receipt = receipts.receipt(ReceiptPhase.DONE, attempt)
        return receipt.copy(status = answer.status, contentType = answer.contentType, body = answer.body)
    }

    private fun answerOf(receipt: Receipt): ServiceAnswer = ServiceAnswer(
        receipt.status,
        receipt.contentType,
        receipt.body
    )

    private companion object {
        private const val RETRY_AFTER_MILLIS = 1_000L
        private const val MAX_KEPT_CHARS = 65_536
        private val keyReused =
            Problem(ProblemKind.CONFLICT, "header $KEY_HEADER: the key was used for another content; use a new one")
        private val unknown =
            Problem(
                ProblemKind.OUTCOME_UNKNOWN,
                "the same key is in progress, or its outcome cannot be told",
                RunState.UNKNOWN,
                RETRY_AFTER_MILLIS,
            )
    }
}
