package bergamotwall.entry

import bergamotwall.decisions.FailedAttempt
import bergamotwall.decisions.ReceiptDecision
import bergamotwall.decisions.RetryDecision
import bergamotwall.decisions.decideRetry
import bergamotwall.decisions.fingerprintOf
import bergamotwall.decisions.hashOf
import bergamotwall.model.CallerIntent
import bergamotwall.model.Finished
import bergamotwall.model.Fingerprint
import bergamotwall.model.Granted
import bergamotwall.model.Offer
import bergamotwall.model.PriorityClass
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.ReceiptPhase
import bergamotwall.model.RequestId
import bergamotwall.model.RunOutcome
import bergamotwall.model.RunState
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import bergamotwall.platform.ServiceAnswer
import bergamotwall.platform.ServiceDriver
import bergamotwall.platform.ServiceRequest
import bergamotwall.platform.TargetError
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import bergamotwall.runtime.problemResponse
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.toResultOr
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import java.util.UUID

/** Serves `/services/{name}/…`: passes calls on to plain services, those that may not be repeated at most once. */
internal class ServiceApi(
    private val node: Node,
    private val identity: Identity,
    private val permits: Permits,
    private val services: ServiceDriver,
    private val receipts: Receipts,
    private val budgets: Budgets,
) {
    private class Call(
        val id: RequestId,
        val service: String,
        val caller: CallerIntent,
        val priorityClass: PriorityClass,
        val idempotent: Boolean,
        val key: String,
        val fingerprint: Fingerprint,
        val request: ServiceRequest,
        val deadlineMillis: Long,
    )

    suspend fun serve(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val outcome = accept(context, request).fold({ run(it) }, { Err(it) })
        val label = outcome.fold({ "answered" }, { it.kind.slug })
        node.metrics.requests.labelValues("service", label).inc()
        return outcome.fold({ respond(it) }, { problemResponse(it) })
    }

    private fun accept(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): Result<Call, Problem> =
        binding {
            val headers = request.headers()
            val caller = identity.caller(headers).bind()
            val name = context.pathParam("name").orEmpty()
            val path = headers.path().removePrefix("/services/$name")
            val intent =
                node.board.configuration
                    .read()
                    .service(ServiceName(name))
                    .toResultOr { Problem(ProblemKind.NOT_FOUND, "service $name: no confirmed intent names it") }
                    .bind()
            val timeoutMillis = deadlineOf(headers, DEFAULT_DEADLINE_MILLIS).bind()
            val idempotent = request.method() in SAFE_METHODS || intent.repeatablePaths.any { path.startsWith(it) }
            val key = headers.get(KEY_HEADER) ?: UUID.randomUUID().toString()
            val scoped = "${caller.name.value}/$name/$key"
            Call(
                id = RequestId(UUID.randomUUID().toString()),
                service = name,
                caller = caller,
                priorityClass = priorityOf(caller, headers).bind(),
                idempotent = idempotent,
                key = hex(hashOf("1:$scoped")) + hex(hashOf("2:$scoped")),
                fingerprint = fingerprintOf(name, "${request.method()} $path\n${request.contentUtf8()}"),
                request = serviceRequest(request, path, key, timeoutMillis),
                deadlineMillis = node.clock.monotonicMillis() + timeoutMillis,
            )
        }

    private fun serviceRequest(
        request: AggregatedHttpRequest,
        path: String,
        key: String,
        timeoutMillis: Long,
    ): ServiceRequest =
        ServiceRequest(
            method = request.method().name,
            path = path.ifEmpty { "/" },
            contentType = request.contentType()?.toString() ?: MediaType.OCTET_STREAM.toString(),
            body = request.contentUtf8(),
            key = key,
            timeoutMillis = timeoutMillis,
            trace = request.headers().get(TRACE_HEADER),
        )

    private suspend fun run(call: Call): Result<ServiceAnswer, Problem> =
        node.tracing.hop("service", call.request.trace) { hop ->
            hop.note("request", call.id.value)
            if (call.idempotent) attempts(call, hop.traceparent) else once(call, hop.traceparent)
        }

    private suspend fun once(
        call: Call,
        trace: String,
    ): Result<ServiceAnswer, Problem> {
        val nonce = UUID.randomUUID().toString()
        val decision = receipts.reserve(call.key, call.fingerprint, nonce).fold({ it }, { return Err(it) })
        node.journal.record(Decision("request/${call.id.value}", decision::class.simpleName.orEmpty(), "receipt ${call.key}"))
        return when (decision) {
            is ReceiptDecision.Dispatch -> node.scope.async { dispatch(call, nonce, trace) }.await()
            is ReceiptDecision.Replay -> replay(decision)
            is ReceiptDecision.KeyReused ->
                Err(Problem(ProblemKind.CONFLICT, "header $KEY_HEADER: the key was used for another content; use a new one"))
            else -> Err(unknown("the same key is in progress, or its outcome cannot be told"))
        }
    }

    private suspend fun dispatch(
        call: Call,
        nonce: String,
        trace: String,
    ): Result<ServiceAnswer, Problem> {
        val result = attempts(call, trace)
        result.fold(
            success = { answer ->
                val receipt = receipts.receipt(ReceiptPhase.DONE, call.fingerprint, nonce)
                val body = answer.body.takeIf { it.length <= MAX_KEPT_CHARS }
                val phase = if (body == null) ReceiptPhase.UNKNOWN else ReceiptPhase.DONE
                val kept =
                    receipt.copy(phase = phase, status = answer.status, contentType = answer.contentType, body = body.orEmpty())
                receipts.complete(call.key, kept)
            },
            failure = { problem ->
                if (problem.runState == RunState.NOT_RUN) {
                    receipts.abandon(call.key, call.fingerprint, nonce)
                } else {
                    receipts.complete(call.key, receipts.receipt(ReceiptPhase.UNKNOWN, call.fingerprint, nonce))
                }
            },
        )
        return result
    }

    private suspend fun attempts(
        call: Call,
        trace: String,
    ): Result<ServiceAnswer, Problem> {
        budgets.attempted(call.caller.name.value)
        var attempt = 1
        var lastFailed: TargetId? = null
        while (true) {
            val offer = offer(call, attempt, lastFailed)
            val permit = permits.acquire(offer, trace).fold({ it }, { return Err(it) })
            val error = attempt(call, offer, permit).fold({ return Ok(it) }, { it })
            lastFailed = permit.target
            val failed =
                FailedAttempt(
                    attempt = attempt,
                    outcome = if (error is TargetError.Broken) RunOutcome.BROKEN else RunOutcome.NOT_STARTED,
                    idempotent = call.idempotent,
                    budgetLeft = budgets.take(call.caller.name.value),
                    nowMillis = node.clock.monotonicMillis(),
                    deadlineMillis = call.deadlineMillis,
                )
            val decision = decideRetry(failed, node.random)
            node.journal.record(Decision("request/${call.id.value}", decision.toString(), error.detail, "attempt $attempt"))
            if (decision is RetryDecision.GiveUp) {
                return Err(Problem(decision.kind, "${decision.rule}: ${error.detail}", decision.runState, RETRY_AFTER_MILLIS))
            }
            delay((decision as RetryDecision.Retry).delayMillis)
            attempt++
        }
    }

    private suspend fun attempt(
        call: Call,
        offer: Offer,
        permit: Granted,
    ): Result<ServiceAnswer, TargetError> {
        val startedMillis = node.clock.monotonicMillis()
        var outcome = RunOutcome.CANCELLED
        try {
            val leftMillis = maxOf(1, call.deadlineMillis - startedMillis)
            val result = services.call(permit.address, call.request.copy(timeoutMillis = leftMillis))
            outcome = result.fold({ RunOutcome.WHOLE }, { if (it is TargetError.Broken) RunOutcome.BROKEN else RunOutcome.NOT_STARTED })
            return result
        } finally {
            permits.finish(finished(offer, permit, outcome, node.clock.monotonicMillis() - startedMillis), offer.prefix)
        }
    }

    private fun offer(
        call: Call,
        attempt: Int,
        lastFailed: TargetId?,
    ): Offer =
        Offer(
            request = RequestId("${call.id.value}.$attempt"),
            requester = node.id(),
            serves = call.service,
            priorityClass = call.priorityClass,
            flow = call.caller.name.value,
            sequence = 0,
            prefix = call.fingerprint.value,
            fingerprint = call.fingerprint,
            minVersion = WeightVersion(0),
            expectedTokens = 1,
            deadlineInMillis = call.deadlineMillis - node.clock.monotonicMillis(),
            excluded = setOfNotNull(lastFailed),
            dataCentre = node.settings.dataCentre,
        )

    private fun finished(
        offer: Offer,
        permit: Granted,
        outcome: RunOutcome,
        durationMillis: Long,
    ): Finished =
        Finished(
            request = offer.request,
            serves = offer.serves,
            target = permit.target,
            fingerprint = offer.fingerprint,
            outcome = outcome,
            firstTokenMillis = durationMillis,
            durationMillis = durationMillis,
            tokens = 1,
            versions = emptyList(),
        )

    private fun replay(decision: ReceiptDecision.Replay): Result<ServiceAnswer, Problem> {
        val receipt = decision.receipt
        return Ok(ServiceAnswer(receipt.status, receipt.contentType, receipt.body))
    }

    private fun unknown(detail: String): Problem =
        Problem(ProblemKind.OUTCOME_UNKNOWN, detail, RunState.UNKNOWN, RETRY_AFTER_MILLIS)

    private fun respond(answer: ServiceAnswer): HttpResponse =
        HttpResponse.of(HttpStatus.valueOf(answer.status), MediaType.parse(answer.contentType), answer.body)

    private fun hex(value: Long): String = java.lang.Long.toHexString(value)

    private companion object {
        private val SAFE_METHODS =
            setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.PUT, HttpMethod.DELETE, HttpMethod.OPTIONS)
        private const val DEFAULT_DEADLINE_MILLIS = 30_000L
        private const val RETRY_AFTER_MILLIS = 1_000L
        private const val MAX_KEPT_CHARS = 65_536
    }
}
