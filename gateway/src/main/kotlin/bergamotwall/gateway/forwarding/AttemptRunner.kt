package bergamotwall.gateway.forwarding

import bergamotwall.drivers.http.SharedBuffer
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetCall
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.usage.ObservedRun

/** Sends a request to one target and receives the response. */
internal class AttemptRunner(
    private val dependencies: TargetDependencies,
    private val limits: ForwardLimits,
) {
    private val buffered = SharedBuffer(account = dependencies.account)

    /** Bytes of responses that are held until they are complete. */
    val bufferedBytes: Long get() = buffered.heldBytes

    /**
     * Sends [request] to [target]. Cancelling the coroutine closes the connection, so that the target drops the
     * request.
     */
    suspend fun run(
        request: CallerRequest,
        target: Target,
        deadlineAtMillis: Long,
        route: Route,
    ): AttemptOutcome {
        val stream = route.kind == RouteKind.STREAM
        val repeatable = route.retryable || stream && route.resumable
        request.keyCheck.refusal()?.let { return AttemptOutcome.NotRun(it) }
        val load = dependencies.loads.of(target.id)
        val sentAtMillis = dependencies.clock.monotonicMillis()
        load.sent(sentAtMillis)
        val remainingMillis = (deadlineAtMillis - sentAtMillis).coerceAtLeast(1)
        val call =
            TargetCall(
                requestId = request.id.value,
                method = request.method,
                path = request.path,
                headers = request.headers,
                body = request.body,
                deadlineMillis = remainingMillis,
                resumeAfter = request.resume?.lastEventId,
                repeatable = repeatable,
                workspace = request.workspace,
                removesKey = request.removesKey,
            )
        val run = ObservedRun(dependencies.starts, dependencies.clock, request, stream, sentAtMillis)
        val work = dependencies.work.sent(target.service, sentAtMillis, deadlineAtMillis)
        val exchange = dependencies.client.send(target.address, dependencies.protocol.request(call, target))
        var streaming = false
        try {
            var outcome = receive(exchange, Attempt(target, call.requestId, stream, sentAtMillis, run))
            when (outcome) {
                is AttemptOutcome.Complete -> {
                    load.latency.succeeded(sentAtMillis, dependencies.clock.monotonicMillis())
                    work.ended(completed = true)
                }
                is AttemptOutcome.StreamStarted -> {
                    streaming = true
                    outcome = AttemptOutcome.StreamStarted(outcome.head, work.observe(outcome.exchange))
                }
                is AttemptOutcome.NotRun -> load.notRun(dependencies.clock.monotonicMillis(), outcome.full)
                is AttemptOutcome.Broken -> load.failed(dependencies.clock.monotonicMillis())
            }
            return outcome
        } finally {
            load.ended()
            run.ended()
            if (!streaming) {
                work.ended(completed = false)
                exchange.cancel()
            }
        }
    }

    private class Attempt(
        val target: Target,
        val requestId: String,
        val stream: Boolean,
        val sentAtMillis: Long,
        val run: ObservedRun,
    )

    private suspend fun receive(
        exchange: TargetExchange,
        attempt: Attempt,
    ): AttemptOutcome =
        when (val first = exchange.next()) {
            is ResponsePart.Head -> handleHead(exchange, attempt, first)
            is ResponsePart.Broken -> outcomeOf(first)
            is ResponsePart.Body, ResponsePart.End, null -> AttemptOutcome.Broken("response without a head")
        }

    private suspend fun handleHead(
        exchange: TargetExchange,
        attempt: Attempt,
        head: ResponsePart.Head,
    ): AttemptOutcome {
        val metadata = dependencies.protocol.read(head)
        dependencies.responded(attempt.target, metadata, attempt.requestId, attempt.sentAtMillis)
        return when {
            metadata.notRun -> AttemptOutcome.NotRun("status ${head.status}", metadata.full)
            !metadata.signed -> AttemptOutcome.Broken("unsigned response with status ${head.status}")
            attempt.stream && head.status == OK -> AttemptOutcome.StreamStarted(head, attempt.run.observe(exchange))
            else -> {
                attempt.run.responding()
                readBody(exchange, head)
            }
        }
    }

    private suspend fun readBody(
        exchange: TargetExchange,
        head: ResponsePart.Head,
    ): AttemptOutcome {
        val body = BufferedBody(buffered)
        try {
            var outcome: AttemptOutcome? = null
            while (outcome == null) {
                when (val part = exchange.next()) {
                    is ResponsePart.Body -> body.add(part)
                    is ResponsePart.End -> outcome = AttemptOutcome.Complete(head, body.toByteArray())
                    is ResponsePart.Broken -> outcome = AttemptOutcome.Broken(part.reason, part.disconnected)
                    is ResponsePart.Head -> outcome = AttemptOutcome.Broken("second response head")
                    null -> outcome = AttemptOutcome.Broken("response without an end")
                }
                if (outcome == null && !body.mayGrow(limits.maxAnswerBytes)) outcome = passOn(head, body, exchange)
            }
            return outcome
        } finally {
            body.release()
        }
    }

    /** The outcome of an attempt whose response is too large to be held until it is complete. */
    private fun passOn(
        head: ResponsePart.Head,
        body: BufferedBody,
        exchange: TargetExchange,
    ): AttemptOutcome =
        if (head.status >= FIRST_SERVER_ERROR) {
            AttemptOutcome.Broken("response of status ${head.status} too large to buffer")
        } else {
            AttemptOutcome.StreamStarted(head, BegunExchange(body.parts, exchange))
        }

    private fun outcomeOf(part: ResponsePart.Broken): AttemptOutcome =
        if (part.mayHaveRun) {
            AttemptOutcome.Broken(part.reason, part.disconnected)
        } else {
            AttemptOutcome.NotRun(part.reason)
        }

    private companion object {
        private const val OK = 200
        private const val FIRST_SERVER_ERROR = 500
    }
}
