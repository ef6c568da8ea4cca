package bergamotwall.gateway.explain

import bergamotwall.decisions.placement.possibleChoices
import bergamotwall.gateway.crashes.CrashGuard
import bergamotwall.gateway.forwarding.CallerRequest
import bergamotwall.gateway.forwarding.ForwardLimits
import bergamotwall.gateway.forwarding.ForwardOutcome
import bergamotwall.gateway.forwarding.GuardedRequest
import bergamotwall.gateway.forwarding.StreamPlacement
import bergamotwall.gateway.forwarding.noTargetOutcome
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.ServiceShare
import bergamotwall.gateway.streams.OriginPeek
import bergamotwall.gateway.streams.StreamOrigins
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.targets.TargetView

/**
 * What [bergamotwall.gateway.forwarding.Forwarder] would do with a request now, decided by the same functions. Sends
 * nothing and changes no state.
 */
internal class ForwardingView(
    private val dependencies: TargetDependencies,
    private val crashes: CrashGuard,
    private val origins: StreamOrigins,
    private val limits: ForwardLimits,
) {
    /** What would happen to a request. [refusal] applies to all [services]; [unknown]: why the outcome is not known. */
    class Outcome(
        val refusal: ForwardOutcome.NotRun? = null,
        val unknown: String? = null,
        val services: List<ExplainedService> = emptyList(),
        val notes: List<String> = emptyList(),
        val changes: List<String> = emptyList(),
    )

    /** Time without a response after which [request] would be sent to a second target; null if it would not be. */
    fun hedgeMillis(
        request: CallerRequest,
        route: Route,
    ): Long? {
        val hedged = route.retryable && route.maxAttempts > 1 && guarded(request, route).mayHedge
        return if (hedged) limits.hedgeMillis(route) else null
    }

    /** What would happen to [request] on [route]. */
    fun explain(
        request: CallerRequest,
        route: Route,
    ): Outcome {
        val crashRefusal = guarded(request, route).wouldRefuse()
        return when {
            crashRefusal != null ->
                Outcome(crashRefusal, changes = listOf("the end of the quarantine, or another method, path or body"))
            request.deadlineAtMillis <= dependencies.clock.monotonicMillis() ->
                Outcome(ForwardOutcome.NotRun("deadline", limits.retryAfterMillis))
            else -> placed(request, route)
        }
    }

    private fun placed(
        request: CallerRequest,
        route: Route,
    ): Outcome {
        val placement = StreamPlacement(request, route, origins)
        return when (val peek = placement.peek()) {
            is OriginPeek.OutdatedTargets ->
                Outcome(
                    refusal = placement.refusalOf(null)?.let { ForwardOutcome.NotRun(it, limits.retryAfterMillis) },
                    notes = listOf("the list of targets was last confirmed ${peek.ageMillis} ms ago"),
                    changes = listOf("a newer list of targets from the key-value service"),
                )
            OriginPeek.InStore -> Outcome(unknown = IN_STORE)
            is OriginPeek.Known -> continued(request, placement, peek)
            null -> services(request, placement, route.choosableShares)
        }
    }

    private fun continued(
        request: CallerRequest,
        placement: StreamPlacement,
        peek: OriginPeek.Known,
    ): Outcome {
        val refusal = placement.refusalOf(peek.origin)
        if (refusal != null) return Outcome(ForwardOutcome.NotRun(refusal, limits.retryAfterMillis))
        val origin = peek.origin
        val note =
            "the stream began at software version ${origin.softwareVersion.value} of service " +
                "${origin.service.value}: ${peek.source}"
        return services(request, placement, listOf(ServiceShare(origin.service, 1)), listOf(note))
    }

    private fun services(
        request: CallerRequest,
        placement: StreamPlacement,
        shares: List<ServiceShare>,
        notes: List<String> = emptyList(),
    ): Outcome {
        val changes = ArrayList<String>()
        val outcomes = shares.map { share ->
            val registered = dependencies.gatewayState.targets.read().of(share.service)
            val views = registered.map { dependencies.view(it, request.purpose) }
            val (service, refusal) = service(share, views, placement)
            changes += changesOf(views, service)
            service to refusal
        }
        val refusals = outcomes.mapNotNull { it.second }
        return Outcome(
            refusal = refusals.firstOrNull().takeIf { refusals.size == outcomes.size },
            services = outcomes.map { it.first },
            notes = notes,
            changes = changes,
        )
    }

    private fun service(
        share: ServiceShare,
        views: List<TargetView>,
        placement: StreamPlacement,
    ): Pair<ExplainedService, ForwardOutcome.NotRun?> {
        val targets = dependencies.gatewayState.targets.read()
        val usable = views.filter { !targets.isLeaving(it.target) && placement.allows(it.target) }
        val choices = possibleChoices(usable.map { it.candidate }, emptySet()).map { it.id }
        val explained = views.map { view ->
            val verdict =
                when {
                    targets.isLeaving(view.target) -> "not usable: it is leaving"
                    !placement.allows(view.target) -> "not usable: its software version can't serve the stream"
                    else -> verdictOf(view, choices)
                }
            explainedTarget(view, verdict)
        }
        val waitMillis =
            views
                .filterNot { targets.isLeaving(it.target) }
                .minOfOrNull { it.limit?.waitMillis ?: 0 } ?: 0
        val refusal = if (choices.isEmpty()) noTargetOutcome(share.service, waitMillis, limits) else null
        val service =
            ExplainedService(
                share.service.value,
                share.weight,
                choices.firstOrNull()?.value,
                refusal?.reason,
                explained
            )
        return service to refusal
    }

    private fun guarded(
        request: CallerRequest,
        route: Route,
    ) = GuardedRequest(request, route, crashes, dependencies.clock)

    private companion object {
        private const val IN_STORE = "where the stream began is known in the key-value service only, which is not asked"
    }
}
