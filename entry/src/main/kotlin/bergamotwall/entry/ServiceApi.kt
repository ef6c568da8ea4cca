package bergamotwall.entry

import bergamotwall.decisions.batches.ReceiptDecision
import bergamotwall.drivers.ServiceResponse
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

/**
 * Serves `/services/{name}/…`: forwards calls to plain services. Calls that are not idempotent are protected by a
 * receipt, so that each runs at most once.
 */
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

    private suspend fun run(call: ServiceCall): Result<ServiceResponse, Problem> =
        node.tracing.hop("service", call.request.trace) { hop ->
            hop.addAttribute("request", call.id.value)
            if (call.idempotent) runner.run(call, hop.traceparent) else runAtMostOnce(call, hop.traceparent)
        }

    private suspend fun runAtMostOnce(
        call: ServiceCall,
        trace: String,
    ): Result<ServiceResponse, Problem> {
        val attempt = Attempt(call.key, call.fingerprint, UUID.randomUUID().toString())
        return receipts.reserve(attempt).flatMap { decision ->
            val decisionName = decision::class.simpleName.orEmpty()
            node.journal.record(Decision("request/${call.id.value}", decisionName, "receipt ${call.key}"))
            when (decision) {
                // Runs in the node's scope: the call completes even if its caller disconnects, so that a retry gets
                // the response from the receipt.
                is ReceiptDecision.Dispatch -> node.scope.async { dispatch(call, attempt, trace) }.await()
                is ReceiptDecision.Replay -> Ok(responseOf(decision.receipt))
                is ReceiptDecision.KeyReused -> Err(keyReused)
                else -> Err(outcomeUnknown)
            }
        }
    }

    private suspend fun dispatch(
        call: ServiceCall,
        attempt: Attempt,
        trace: String,
    ): Result<ServiceResponse, Problem> {
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

    /** A response too long to be stored in a receipt leaves the outcome unknown for retries. */
    private fun receiptOf(
        response: ServiceResponse,
        attempt: Attempt,
    ): Receipt {
        if (response.body.length > MAX_STORED_CHARS) return receipts.receipt(ReceiptPhase.UNKNOWN, attempt)
        val receipt = receipts.receipt(ReceiptPhase.DONE, attempt)
        return receipt.copy(status = response.status, contentType = response.contentType, body = response.body)
    }

    private fun responseOf(receipt: Receipt): ServiceResponse = ServiceResponse(
        receipt.status,
        receipt.contentType,
        receipt.body
    )

    private companion object {
        private const val RETRY_AFTER_MILLIS = 1_000L
        private const val MAX_STORED_CHARS = 65_536
        private val keyReused =
            Problem(ProblemKind.CONFLICT, "header $KEY_HEADER: the key was used for different content; use a new one")
        private val outcomeUnknown =
            Problem(
                ProblemKind.OUTCOME_UNKNOWN,
                "a request with the same key is in progress, or its outcome is unknown",
                RunState.UNKNOWN,
                RETRY_AFTER_MILLIS,
            )
    }
}
