package bergamotwall.gateway.forwarding

import bergamotwall.gateway.http.AnswerPart
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetCall
import bergamotwall.gateway.targets.TargetParts
import java.io.ByteArrayOutputStream

/** Sends a request to one target and receives its answer. */
internal class AttemptRunner(
    private val parts: TargetParts,
    private val limits: ForwardLimits,
) {
    /** One attempt of [request] at [target]; cancelling it makes the target drop the request. */
    suspend fun run(
        request: CallerRequest,
        target: Target,
        deadlineAtMillis: Long,
        stream: Boolean,
    ): AttemptOutcome {
        val load = parts.loads.of(target.id)
        val sentAtMillis = parts.clock.monotonicMillis()
        load.sent(sentAtMillis)
        val leftMillis = (deadlineAtMillis - sentAtMillis).coerceAtLeast(1)
        val call =
            TargetCall(request.id.value, request.method, request.path, request.headers, request.body, leftMillis)
        val exchange = parts.client.send(target.address, parts.protocol.request(call, target))
        var streaming = false
        try {
            val outcome = receive(exchange, target, stream)
            when (outcome) {
                is AttemptOutcome.Whole -> load.succeeded(parts.clock.monotonicMillis() - sentAtMillis)
                is AttemptOutcome.Started -> streaming = true
                is AttemptOutcome.NotRun -> load.notRun(parts.clock.monotonicMillis(), outcome.full)
                is AttemptOutcome.Broken -> load.failed(parts.clock.monotonicMillis())
            }
            return outcome
        } finally {
            load.ended()
            if (!streaming) exchange.cancel()
        }
    }

    private suspend fun receive(
        exchange: TargetExchange,
        target: Target,
        stream: Boolean,
    ): AttemptOutcome =
        when (val first = exchange.parts.receive()) {
            is AnswerPart.Head -> answered(exchange, target, stream, first)
            is AnswerPart.Broken -> broken(first)
            is AnswerPart.Body, AnswerPart.End -> AttemptOutcome.Broken("no head")
        }

    private suspend fun answered(
        exchange: TargetExchange,
        target: Target,
        stream: Boolean,
        head: AnswerPart.Head,
    ): AttemptOutcome {
        val facts = parts.protocol.read(head)
        facts.load?.let { parts.loads.of(target.id).reported(it, parts.clock.monotonicMillis()) }
        if (facts.genuine && !facts.notRun) parts.loads.of(target.id).answering()
        return when {
            facts.notRun -> AttemptOutcome.NotRun("status ${head.status}", facts.full)
            !facts.genuine -> AttemptOutcome.Broken("unsigned status ${head.status}")
            stream && head.status == OK -> AttemptOutcome.Started(head, exchange)
            else -> whole(exchange, head)
        }
    }

    private suspend fun whole(
        exchange: TargetExchange,
        head: AnswerPart.Head,
    ): AttemptOutcome {
        val body = ByteArrayOutputStream()
        var outcome: AttemptOutcome? = null
        while (outcome == null) {
            when (val part = exchange.parts.receive()) {
                is AnswerPart.Body -> body.writeBytes(part.bytes)
                is AnswerPart.End -> outcome = AttemptOutcome.Whole(head, body.toByteArray())
                is AnswerPart.Broken -> outcome = AttemptOutcome.Broken(part.reason)
                is AnswerPart.Head -> outcome = AttemptOutcome.Broken("second head")
            }
            if (body.size() > limits.maxAnswerBytes) outcome = AttemptOutcome.Broken("answer too large")
        }
        return outcome
    }

    private fun broken(part: AnswerPart.Broken): AttemptOutcome =
        if (part.mayHaveRun) AttemptOutcome.Broken(part.reason) else AttemptOutcome.NotRun(part.reason)

    private companion object {
        private const val OK = 200
    }
}
