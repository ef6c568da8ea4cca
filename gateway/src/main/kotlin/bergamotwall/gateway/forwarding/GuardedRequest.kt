package bergamotwall.gateway.forwarding

import bergamotwall.decisions.fingerprintOf
import bergamotwall.gateway.crashes.CrashGuard
import bergamotwall.gateway.crashes.InterruptedRequest
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.targets.Target
import bergamotwall.runtime.Clock

/** A caller's [request] in its relation to the crash guard. */
internal class GuardedRequest(
    private val request: CallerRequest,
    private val route: Route,
    private val crashes: CrashGuard,
    private val clock: Clock,
) {
    private val content =
        lazy(LazyThreadSafetyMode.PUBLICATION) {
            fingerprintOf(route.host, request.method, request.path, request.body)
        }

    /** Whether the request may be sent to a target now. */
    val mayRun: Boolean get() = crashes.refusedForMillis(content) == 0L

    /** Whether the request may be sent to a target while another one has not responded yet. */
    val mayHedge: Boolean get() = !crashes.suspects(content)

    /** The outcome if the request must not be sent to any target, or null; counts the refusal. */
    fun refusal(): ForwardOutcome? = wouldRefuse()?.also { crashes.refused(route.name) }

    /** The same as [refusal], but nothing is counted. */
    fun wouldRefuse(): ForwardOutcome.NotRun? {
        val refusedMillis = crashes.refusedForMillis(content)
        if (refusedMillis == 0L) return null
        return ForwardOutcome.NotRun("content ${content.value.hex} crashed the targets that ran it", refusedMillis)
    }

    /** Reports to the guard how the run at [target] that led to [outcome] ended, or will end. */
    fun observe(
        outcome: AttemptOutcome,
        target: Target,
        sentAtMillis: Long,
    ): AttemptOutcome {
        if (outcome is AttemptOutcome.Complete) crashes.completed(content)
        if (outcome is AttemptOutcome.Broken && outcome.disconnected) interrupted(target, sentAtMillis, outcome.reason)
        if (outcome !is AttemptOutcome.StreamStarted) return outcome
        val observed =
            ObservedExchange(outcome.exchange) { part ->
                if (part is ResponsePart.End) crashes.completed(content)
                if (part is ResponsePart.Broken && part.disconnected) interrupted(target, sentAtMillis, part.reason)
            }
        return AttemptOutcome.StreamStarted(outcome.head, observed)
    }

    private fun interrupted(
        target: Target,
        sentAtMillis: Long,
        reason: String,
    ) {
        val tookMillis = clock.monotonicMillis() - sentAtMillis
        val interrupted =
            InterruptedRequest(request.id, route.name, request.path, content.value, reason, tookMillis)
        crashes.interrupted(interrupted, target)
    }
}
