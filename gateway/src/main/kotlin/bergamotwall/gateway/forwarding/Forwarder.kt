package bergamotwall.gateway.forwarding

import bergamotwall.decisions.placement.chooseTarget
import bergamotwall.gateway.concurrent.PendingResults
import bergamotwall.gateway.crashes.CrashGuard
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.streams.StreamOrigins
import bergamotwall.gateway.targets.SendPurpose
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.ServiceName
import bergamotwall.model.SoftwareVersion
import bergamotwall.model.TargetId
import bergamotwall.runtime.Decision
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Forwards callers' requests and reward calls to targets.
 *
 * Guarantees:
 * - A request that must not run twice is sent to a second target only if the first states that it did not run it, or
 *   can't have received it.
 * - At most [Route.maxAttempts] targets are tried.
 * - With [ForwardLimits.hedging], hedges are a bounded share of a service's requests.
 * - A request whose content crashes its targets is refused, as the [CrashGuard] decides.
 * - A resumed stream continues at the software version that began it, as the [StreamOrigins] know it, or is refused.
 * - The caller receives the final outcome by its deadline or the route's timeout, whichever comes first.
 */
public class Forwarder(
    private val dependencies: TargetDependencies,
    private val crashes: CrashGuard,
    private val limits: ForwardLimits,
    private val origins: StreamOrigins = StreamOrigins.NONE,
) : RequestForwarder {
    private val runner = AttemptRunner(dependencies, limits)
    private val hedging = limits.hedging?.let { Hedging(it, dependencies) }

    init {
        dependencies.metrics.gauge("buffered_response_bytes", "Bytes of responses held until they are complete.") {
            runner.bufferedBytes
        }
    }

    override suspend fun forward(
        request: CallerRequest,
        route: Route,
    ): ForwardOutcome {
        val deadlineAtMillis = minOf(request.deadlineAtMillis, request.arrivedAtMillis + route.timeoutMillis)
        val forwarded = ForwardedRequest(request, route, deadlineAtMillis)
        val remainingMillis = deadlineAtMillis - dependencies.clock.monotonicMillis()
        val outcome =
            forwarded.guarded.refusal()
                ?: withTimeoutOrNull(remainingMillis) { coroutineScope { forwarded.run(this) } }
                ?: forwarded.deadlineOutcome
        forwarded.record(outcome)
        return outcome
    }

    /** Chooses a service of [route] at random, by weight. */
    private fun chooseService(route: Route): ServiceName {
        val total = route.shares.sumOf { it.weight }
        if (total <= 0) return route.shares.first().service
        var remaining = dependencies.random.nextInt(total)
        return route.shares.first { share ->
            remaining -= share.weight
            remaining < 0
        }.service
    }

    /** One request with its attempts at targets. */
    private inner class ForwardedRequest(
        private val request: CallerRequest,
        private val route: Route,
        private val deadlineAtMillis: Long,
    ) {
        private val placement = StreamPlacement(request, route, origins)
        private val service by lazy(LazyThreadSafetyMode.NONE) { placement.service ?: chooseService(route) }
        private val tried = LinkedHashMap<TargetId, SoftwareVersion?>()
        private val outcomes = PendingResults<AttemptOutcome>()
        private var lastReason = NO_ATTEMPT_ENDED
        private var refusals = 0
        private val startedAtMillis = dependencies.clock.monotonicMillis()

        private var endedAttemptMayHaveRun = false

        val guarded = GuardedRequest(request, route, crashes, dependencies.clock)

        private var failedRuns = 0

        private val hedges by lazy(LazyThreadSafetyMode.NONE) {
            // Nobody waits for a single reward call, and a wave of them would only be doubled where targets are busy.
            val hedgeable = request.purpose == SendPurpose.REQUEST && route.retryable
            hedging?.takeIf { hedgeable }?.request(service, deadlineAtMillis)
        }

        /** Whether a target ran the request, or may be running it now. */
        private val mayHaveRun: Boolean get() = endedAttemptMayHaveRun || outcomes.count > 0

        /** The outcome if the deadline passes now. */
        val deadlineOutcome: ForwardOutcome
            get() = if (mayHaveRun) ForwardOutcome.TimedOut("deadline", failedRuns) else notRun("deadline")

        suspend fun run(scope: CoroutineScope): ForwardOutcome {
            val refusal = placement.refusal()?.let { notRun(it) } ?: if (launchNext(scope)) null else noTarget(service)
            if (refusal != null) return refusal
            while (true) {
                val outcome = nextOutcome(scope) ?: continue
                val forwardOutcome = handleOutcome(outcome, scope)
                if (forwardOutcome != null) {
                    hedges?.finished(forwardOutcome, undisturbed = failedRuns == 0 && lastReason == NO_ATTEMPT_ENDED)
                    scope.coroutineContext[Job]?.cancelChildren()
                    return forwardOutcome
                }
            }
        }

        fun record(outcome: ForwardOutcome) {
            val tookMillis = dependencies.clock.monotonicMillis() - startedAtMillis
            dependencies.metrics.requestEnded(route.name, outcome, tookMillis)
            dependencies.journal.record(
                Decision(
                    subject = "request/${request.id.value}",
                    decision = describe(outcome),
                    rule = route.name,
                    cause = lastReason,
                    inputs =
                    "configuration ${dependencies.gatewayState.routes.read().revision.value}, " +
                        "service ${service.value}, targets ${describe(tried)}, " +
                        "took $tookMillis ms",
                ),
            )
        }

        /** The next outcome, or null if the hedging delay passed first and the request was sent to another target. */
        private suspend fun nextOutcome(scope: CoroutineScope): AttemptOutcome? {
            // Nobody waits for a single reward call, and a wave of them would only be doubled where targets are busy.
            val hedge = request.purpose == SendPurpose.REQUEST &&
                route.retryable && tried.size < route.maxAttempts && guarded.mayHedge
            val boundMillis = limits.hedgeMillis(route)
            hedges?.takeIf { hedge }?.let { hedges ->
                return hedges.next(outcomes, boundMillis) {
                    val allowed = guarded.mayHedge && guarded.mayRun
                    val target = if (allowed) hedges.choose(usable(service, placement)) else null
                    target?.let { launch(it, scope) } != null
                }
            }
            val waitMillis = if (hedge) boundMillis else Long.MAX_VALUE
            val outcome = outcomes.next(waitMillis)
            return if (outcome == null && !launchNext(scope)) outcomes.next() else outcome
        }

        private suspend fun handleOutcome(
            outcome: AttemptOutcome,
            scope: CoroutineScope,
        ): ForwardOutcome? =
            when (outcome) {
                is AttemptOutcome.Complete -> onComplete(outcome, scope)
                is AttemptOutcome.StreamStarted -> {
                    val remainingMillis = deadlineAtMillis - dependencies.clock.monotonicMillis()
                    ForwardOutcome.Streaming(outcome.head, outcome.exchange, remainingMillis)
                }
                is AttemptOutcome.NotRun -> onNotRun(outcome, scope)
                is AttemptOutcome.Broken -> onBroken(outcome, scope)
            }

        private fun onComplete(
            outcome: AttemptOutcome.Complete,
            scope: CoroutineScope,
        ): ForwardOutcome? {
            endedAttemptMayHaveRun = true
            val failed = outcome.head.status >= FIRST_SERVER_ERROR
            if (failed) failedRuns++
            if (failed && route.retryable && continueAttempts(scope)) return null
            return ForwardOutcome.Completed(outcome.head, outcome.body, failedRuns)
        }

        private suspend fun onNotRun(
            outcome: AttemptOutcome.NotRun,
            scope: CoroutineScope,
        ): ForwardOutcome? {
            lastReason = outcome.reason
            refusals++
            delay(limits.refusedPauseMillis * refusals)
            if (refusals <= MAX_REFUSALS && continueAttempts(scope)) return null
            return if (mayHaveRun) {
                ForwardOutcome.Failed(outcome.reason, failedRuns)
            } else {
                dependencies.work.refused(service)
                notRun(outcome.reason)
            }
        }

        private fun onBroken(
            outcome: AttemptOutcome.Broken,
            scope: CoroutineScope,
        ): ForwardOutcome? {
            lastReason = outcome.reason
            endedAttemptMayHaveRun = true
            if (route.retryable && continueAttempts(scope)) return null
            return ForwardOutcome.Failed(outcome.reason, failedRuns)
        }

        /** Launches another attempt unless one is in flight; returns false if neither is possible. */
        private fun continueAttempts(scope: CoroutineScope): Boolean = outcomes.count > 0 || launchNext(scope)

        /**
         * Sends the request to another target; returns false if the attempts or the targets are used up, or if its
         * content must not run any more.
         */
        private fun launchNext(scope: CoroutineScope): Boolean {
            val allowed = tried.size < route.maxAttempts && guarded.mayRun
            val target = if (allowed) selectTarget(service, tried.keys, placement, request.purpose) else null
            if (target == null) return false
            launch(target, scope)
            return true
        }

        private fun launch(
            target: Target,
            scope: CoroutineScope,
        ) {
            tried[target.id] = target.softwareVersion
            dependencies.limits.charge(target, request.purpose, dependencies.clock.monotonicMillis())
            hedges?.sent(target)
            outcomes.start(scope) {
                val sentAtMillis = dependencies.clock.monotonicMillis()
                val outcome = runner.run(request, target, deadlineAtMillis, route)
                hedges?.ended(target, outcome)
                if (outcome is AttemptOutcome.StreamStarted) placement.started(target)
                guarded.observe(outcome, target, sentAtMillis)
            }
        }
    }

    private fun notRun(reason: String): ForwardOutcome = ForwardOutcome.NotRun(reason, limits.retryAfterMillis)

    /** The outcome of a request for which no target of [service] may be used now. */
    private fun noTarget(service: ServiceName): ForwardOutcome {
        val waitMillis = dependencies.limits.waitMillis(
            dependencies.gatewayState.targets.read().usable(service),
            dependencies.clock.monotonicMillis(),
        )
        if (waitMillis == 0L) dependencies.work.refused(service)
        return noTargetOutcome(service, waitMillis, limits)
    }

    private fun selectTarget(
        service: ServiceName,
        tried: Set<TargetId>,
        placement: StreamPlacement,
        purpose: SendPurpose,
    ): Target? {
        val usable = usable(service, placement)
        val chosen = chooseTarget(dependencies.candidates(usable, purpose), tried, dependencies.random)
        return usable.firstOrNull { it.id == chosen?.id }
    }

    private fun usable(
        service: ServiceName,
        placement: StreamPlacement,
    ): List<Target> = dependencies.gatewayState.targets.read().usable(service).filter { placement.allows(it) }

    private companion object {
        private const val NO_ATTEMPT_ENDED = "no target"
        private const val FIRST_SERVER_ERROR = 500

        /** Targets that refuse are full or unreachable; further attempts would only add to their load. */
        private const val MAX_REFUSALS = 3
    }
}

/**
 * The outcome of a request for which no target of [service] may be used now; the request limits of the targets let one
 * be sent in [waitMillis].
 */
internal fun noTargetOutcome(
    service: ServiceName,
    waitMillis: Long,
    limits: ForwardLimits,
): ForwardOutcome.NotRun =
    if (waitMillis == 0L) {
        ForwardOutcome.NotRun("service ${service.value} has no usable target", limits.retryAfterMillis)
    } else {
        val retryAfterMillis = minOf(waitMillis, limits.maxLimitRetryAfterMillis)
        ForwardOutcome.NotRun("the targets of service ${service.value} are at their request limits", retryAfterMillis)
    }

private fun describe(targets: Map<TargetId, SoftwareVersion?>): String =
    targets.entries.joinToString(",") { (id, software) -> "${id.value} (software ${software?.value})" }

private fun describe(outcome: ForwardOutcome): String =
    when (outcome) {
        is ForwardOutcome.Completed -> "answered ${outcome.head.status}"
        is ForwardOutcome.Streaming -> "streaming"
        is ForwardOutcome.NotRun -> "not run: ${outcome.reason}"
        is ForwardOutcome.Failed -> "failed: ${outcome.reason}"
        is ForwardOutcome.TimedOut -> "timed out: ${outcome.reason}"
    }
