package bergamotwall.gateway.forwarding

import bergamotwall.decisions.chooseTarget
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetParts
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import bergamotwall.runtime.Decision
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Forwards callers' requests to targets.
 *
 * Guarantees: a request that may not run twice is sent to a second target only if the first states that it did not run
 * it; no more targets are tried than the route allows; the caller has its final answer by its deadline and the route's
 * time-out.
 */
public class Forwarder(private val parts: TargetParts, private val limits: ForwardLimits) {
    private val runner = AttemptRunner(parts, limits)

    /** Serves [request] on [route]. Cancelling it makes the targets drop the request. */
    public suspend fun forward(
        request: CallerRequest,
        route: Route,
    ): ForwardOutcome {
        val deadlineAtMillis = minOf(request.deadlineAtMillis, request.arrivedAtMillis + route.timeoutMillis)
        val service = pick(route)
        val run = ForwardRun(request, route, service, deadlineAtMillis)
        val leftMillis = deadlineAtMillis - parts.clock.monotonicMillis()
        val outcome =
            withTimeoutOrNull(leftMillis) { coroutineScope { run.attempts(this) } }
                ?: if (run.mayHaveRun) ForwardOutcome.TimedOut("deadline") else run.notRun("deadline")
        run.record(outcome)
        return outcome
    }

    /** Weighted choice among the services of [route]. */
    private fun pick(route: Route): ServiceName {
        val total = route.shares.sumOf { it.weight }
        if (total <= 0) return route.shares.first().service
        var left = parts.random.nextInt(total)
        return route.shares.first { share ->
            left -= share.weight
            left < 0
        }.service
    }

    private inner class ForwardRun(
        private val request: CallerRequest,
        private val route: Route,
        private val service: ServiceName,
        private val deadlineAtMillis: Long,
    ) {
        private val tried = LinkedHashSet<TargetId>()
        private val outcomes = Channel<AttemptOutcome>(Channel.UNLIMITED)
        private var open = 0
        private var lastReason = "no target"
        private var refusals = 0
        private val startedAtMillis = parts.clock.monotonicMillis()

        private var ran = false

        /** Whether a target ran it, or may be running it. */
        val mayHaveRun: Boolean get() = ran || open > 0

        suspend fun attempts(scope: CoroutineScope): ForwardOutcome {
            if (!launchNext(scope)) return notRun("no target of ${service.value} is known")
            while (true) {
                val outcome = next(scope) ?: continue
                val final = settle(outcome, scope)
                if (final != null) {
                    scope.coroutineContext[Job]?.cancelChildren()
                    return final
                }
            }
        }

        fun notRun(reason: String): ForwardOutcome = ForwardOutcome.NotRun(reason, limits.retryAfterMillis)

        fun record(outcome: ForwardOutcome) {
            val tookMillis = parts.clock.monotonicMillis() - startedAtMillis
            parts.metrics.answered(route.name, outcome, tookMillis)
            parts.journal.record(
                Decision(
                    subject = "request/${request.id.value}",
                    decision = describe(outcome),
                    rule = route.name,
                    cause = lastReason,
                    inputs =
                    "configuration ${parts.board.routes.read().revision.value}, service ${service.value}, " +
                        "targets ${tried.joinToString(",") { it.value }}, " +
                        "took $tookMillis ms",
                ),
            )
        }

        /** The next outcome, or null after a second target was asked because the first is slow. */
        private suspend fun next(scope: CoroutineScope): AttemptOutcome? {
            val hedge = route.retryable && tried.size < route.maxAttempts
            val waitMillis = if (hedge) route.targetLatencyMillis * limits.hedgePercent / PERCENT else Long.MAX_VALUE
            val outcome = withTimeoutOrNull(waitMillis) { outcomes.receive() }
            return if (outcome == null && !launchNext(scope)) outcomes.receive() else outcome
        }

        private suspend fun settle(
            outcome: AttemptOutcome,
            scope: CoroutineScope,
        ): ForwardOutcome? {
            open--
            return when (outcome) {
                is AttemptOutcome.Whole -> whole(outcome, scope)
                is AttemptOutcome.Started -> ForwardOutcome.Streaming(outcome.head, outcome.exchange)
                is AttemptOutcome.NotRun -> refused(outcome, scope)
                is AttemptOutcome.Broken -> broken(outcome, scope)
            }
        }

        private fun whole(
            outcome: AttemptOutcome.Whole,
            scope: CoroutineScope,
        ): ForwardOutcome? {
            ran = true
            val failed = outcome.head.status >= FIRST_ERROR
            if (failed && route.retryable && goOn(scope)) return null
            return ForwardOutcome.Answered(outcome.head, outcome.body)
        }

        private suspend fun refused(
            outcome: AttemptOutcome.NotRun,
            scope: CoroutineScope,
        ): ForwardOutcome? {
            lastReason = outcome.reason
            refusals++
            delay(limits.refusedPauseMillis * refusals)
            if (refusals <= MAX_REFUSALS && goOn(scope)) return null
            return if (mayHaveRun) ForwardOutcome.Failed(outcome.reason) else notRun(outcome.reason)
        }

        private fun broken(
            outcome: AttemptOutcome.Broken,
            scope: CoroutineScope,
        ): ForwardOutcome? {
            lastReason = outcome.reason
            ran = true
            if (route.retryable && goOn(scope)) return null
            return ForwardOutcome.Failed(outcome.reason)
        }

        private fun goOn(scope: CoroutineScope): Boolean = open > 0 || launchNext(scope)

        private fun launchNext(scope: CoroutineScope): Boolean {
            val target = if (tried.size < route.maxAttempts) choose(service, tried) else null
            if (target == null) return false
            tried += target.id
            open++
            scope.launch {
                outcomes.send(runner.run(request, target, deadlineAtMillis, route.kind == RouteKind.STREAM))
            }
            return true
        }
    }

    private fun choose(
        service: ServiceName,
        tried: Set<TargetId>,
    ): Target? {
        val usable = parts.board.targets.read().usable(service)
        val chosen = chooseTarget(parts.candidates(usable), tried, parts.random)
        return usable.firstOrNull { it.id == chosen?.id }
    }

    private companion object {
        private const val PERCENT = 100
        private const val FIRST_ERROR = 500

        /** Targets that refuse are full or gone; more tries than this only add to their load. */
        private const val MAX_REFUSALS = 3
    }
}

private fun describe(outcome: ForwardOutcome): String =
    when (outcome) {
        is ForwardOutcome.Answered -> "answered ${outcome.head.status}"
        is ForwardOutcome.Streaming -> "streaming"
        is ForwardOutcome.NotRun -> "not run: ${outcome.reason}"
        is ForwardOutcome.Failed -> "failed: ${outcome.reason}"
        is ForwardOutcome.TimedOut -> "timed out: ${outcome.reason}"
    }
