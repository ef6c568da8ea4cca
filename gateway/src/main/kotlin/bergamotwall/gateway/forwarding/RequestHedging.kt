package bergamotwall.gateway.forwarding

import bergamotwall.decisions.admission.HedgeDecision
import bergamotwall.decisions.admission.UnansweredRequest
import bergamotwall.decisions.admission.WithheldHedge
import bergamotwall.decisions.admission.decideHedge
import bergamotwall.gateway.concurrent.PendingResults
import bergamotwall.gateway.targets.SendPurpose
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.TargetId
import java.util.concurrent.ConcurrentHashMap

/** When one request is hedged, and what its end tells of its service and targets. */
internal class RequestHedging(
    private val hedging: Hedging,
    private val service: Hedging.Service,
    private val dependencies: TargetDependencies,
    private val deadlineAtMillis: Long,
) {
    private val running = ConcurrentHashMap<TargetId, Long>()
    private val tried = HashSet<TargetId>()
    private var firstSentAtMillis: Long? = null
    private var lastSentAtMillis = 0L
    private var lastTarget: Target? = null
    private var hedge: Target? = null
    private var lastReason: WithheldHedge? = null

    /**
     * The next of the [outcomes], or null if the hedging delay of at most [boundMillis] passed first and [hedge] has
     * sent the request to another target. If it has not, it is called again later, at growing intervals.
     */
    suspend fun next(
        outcomes: PendingResults<AttemptOutcome>,
        boundMillis: Long,
        hedge: () -> Boolean,
    ): AttemptOutcome? {
        var waitMillis = delayMillis(boundMillis)
        var outcome = outcomes.next(waitMillis)
        while (outcome == null && !hedge()) {
            waitMillis *= 2
            outcome = outcomes.next(waitMillis)
        }
        return outcome
    }

    /** How long to wait for a response before the request is hedged. */
    private fun delayMillis(boundMillis: Long): Long {
        val nowMillis = dependencies.clock.monotonicMillis()
        val percentileMillis = service.durations.percentileMillis(hedging.settings.percentile, nowMillis)
        val sentMillis = nowMillis - lastSentAtMillis
        return (minOf(boundMillis, percentileMillis?.plus(1) ?: boundMillis) - sentMillis)
            .coerceAtLeast(hedging.settings.minDelayMillis)
    }

    /** The one of the [usable] targets that the request is sent to as well; null if it is not hedged now. */
    fun choose(usable: List<Target>): Target? {
        val nowMillis = dependencies.clock.monotonicMillis()
        val candidates = dependencies.candidates(usable, SendPurpose.REQUEST)
        val request =
            UnansweredRequest(
                target = candidates.firstOrNull { it.id == lastTarget?.id },
                tried = tried,
                waitedMillis = nowMillis - lastSentAtMillis,
                remainingMillis = deadlineAtMillis - nowMillis,
            )
        val decision = decideHedge(request, candidates, service.budget.get(), dependencies.random)
        if (decision is HedgeDecision.Send && service.take()) {
            hedge = usable.first { it.id == decision.target }
            return hedge
        }
        withheld((decision as? HedgeDecision.Withhold)?.reason ?: WithheldHedge.BUDGET)
        return null
    }

    /** Counts each reason once for a request, however often it is considered. */
    private fun withheld(reason: WithheldHedge) {
        if (reason != lastReason) service.withheld(reason)
        lastReason = reason
    }

    /** Records that the request is sent to [target]. */
    fun sent(target: Target) {
        val nowMillis = dependencies.clock.monotonicMillis()
        firstSentAtMillis = firstSentAtMillis ?: nowMillis
        lastSentAtMillis = nowMillis
        lastTarget = target
        tried += target.id
        running[target.id] = nowMillis
    }

    /** Records the [outcome] of sending to [target]. */
    fun ended(
        target: Target,
        outcome: AttemptOutcome,
    ) {
        running -= target.id
        val succeeded = outcome is AttemptOutcome.Complete && outcome.head.status < FIRST_SERVER_ERROR
        if (succeeded && target.id == hedge?.id) service.won()
    }

    /**
     * Records the request's final [outcome]. [undisturbed]: no attempt failed or was refused. Where a hedge was faster,
     * the time until its response is a lower bound of the first target's: without it, a slow target would look as fast
     * as it was before, and the percentile would sink with each hedge.
     */
    fun finished(
        outcome: ForwardOutcome,
        undisturbed: Boolean,
    ) {
        if (outcome !is ForwardOutcome.Completed) return
        val nowMillis = dependencies.clock.monotonicMillis()
        firstSentAtMillis?.takeIf { undisturbed }?.let { service.durations.record(nowMillis - it, nowMillis) }
        running.forEach { (target, sentAtMillis) ->
            dependencies.loads.of(target).latency.outlasted(sentAtMillis, nowMillis)
        }
    }

    private companion object {
        private const val FIRST_SERVER_ERROR = 500
    }
}
