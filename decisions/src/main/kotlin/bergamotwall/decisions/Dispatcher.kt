package bergamotwall.decisions

import bergamotwall.model.CrashRecord
import bergamotwall.model.Finished
import bergamotwall.model.NodeId
import bergamotwall.model.Offer
import bergamotwall.model.PriorityClass
import bergamotwall.model.RunOutcome
import kotlin.random.Random

/**
 * The one place that admits work to the targets of a shard: queue, priorities, fair shares, headroom and choice.
 *
 * Guarantees: a request is granted at most one target at a time; a refusal means that it did not run; no work is
 * granted to a stopping, swapping or unreachable target. Not thread-safe: one coroutine drives it, with the time of a
 * monotonic clock. Decisions replay from the seed of [random].
 */
public class Dispatcher(
    private val limits: DispatchLimits,
    weightOf: (String) -> Int,
    random: Random,
) {
    private val targets = Targets()
    private val suspicion = CrashSuspicion()
    private val headroom = Headroom()
    private val permits = PermitBook(headroom)
    private val placement = Placement(targets, permits, suspicion, random)
    private val decisions = ArrayList<DispatchDecision>()
    private val queues = OfferQueues(weightOf)
    private val admission = Admission(limits, queues, suspicion)
    private val queue = AdmissionQueue(queues, admission, suspicion, targets, decisions)
    private val experience = Experience(limits, targets, suspicion, placement, admission.waits)

    /** Takes in [event] at [nowMillis] and returns what was decided because of it. */
    public fun handle(
        event: DispatchEvent,
        nowMillis: Long,
    ): List<DispatchDecision> {
        apply(event, nowMillis)
        dispatch(nowMillis)
        return decisions.toList().also { decisions.clear() }
    }

    /** Crash evidence to spread. */
    public fun crashRecords(nowMillis: Long): List<CrashRecord> = suspicion.records(nowMillis)

    /** Current load, for metrics and status. */
    public fun load(nowMillis: Long): DispatchLoad {
        val capacity = targets.capacity(nowMillis)
        return DispatchLoad(queue.size, permits.size, capacity, headroom.reserved(capacity))
    }

    private fun apply(
        event: DispatchEvent,
        nowMillis: Long,
    ) {
        when (event) {
            is DispatchEvent.Listed -> targets.update(event.targets)
            is DispatchEvent.Reported -> targets[event.target]?.let { placement.reported(it, event.report, nowMillis) }
            is DispatchEvent.Silent -> targets[event.target]?.failed(nowMillis, limits)
            is DispatchEvent.Offered -> offered(event.offer, nowMillis)
            is DispatchEvent.Withdrawn -> queue.remove(event.request) ?: permits.release(event.request, nowMillis)
            is DispatchEvent.RequesterLost -> lost(event.requester, nowMillis)
            is DispatchEvent.Returned -> returned(event.finished, nowMillis)
            is DispatchEvent.CrashesHeard -> {
                suspicion.merge(event.records, nowMillis)
                queue.refuseQuarantined(nowMillis)
            }
            DispatchEvent.Tick -> {
                queue.refuseExpired(nowMillis)
                permits.releaseExpired(nowMillis)
            }
        }
    }

    /** A permit that is out is told again, as its answer may have been lost. */
    private fun offered(
        offer: Offer,
        nowMillis: Long,
    ) {
        val permit = permits.find(offer.request)
        if (permit != null) {
            decisions += DispatchDecision.Grant(offer.request, permit.target.id, permit.target.address, "asked again")
        } else if (!queue.holds(offer.request)) {
            queue.admit(offer, nowMillis)
        }
    }

    private fun lost(
        requester: NodeId,
        nowMillis: Long,
    ) {
        queue.removeAllOf(requester)
        permits.releaseAllOf(requester, nowMillis)
    }

    private fun returned(
        finished: Finished,
        nowMillis: Long,
    ) {
        permits.release(finished.request, nowMillis)?.let { experience.learn(it, finished, nowMillis) }
        if (finished.outcome == RunOutcome.BROKEN) queue.refuseQuarantined(nowMillis)
    }

    private fun dispatch(nowMillis: Long) {
        for (priorityClass in PriorityClass.entries) {
            val waiting = queue.of(priorityClass)
            while (waiting.size > 0 && headroom.admits(priorityClass, targets.capacity(nowMillis))) {
                val placed = waiting.takeFirst(limits.scanDepth) { placement.place(it.offer, nowMillis) } ?: break
                grant(placed.item, placed.place, nowMillis)
            }
        }
    }

    private fun grant(
        item: QueuedOffer,
        target: TargetState,
        nowMillis: Long,
    ) {
        val rule = "least cost of sampled, pressure ${(target.pressure * PERCENT).toInt()}%"
        permits.issue(Permit(item.offer, target, item.deadlineMillis + limits.permitGraceMillis))
        placement.granted(item.offer, target)
        admission.waits.granted(nowMillis - item.arrivedAtMillis)
        decisions += DispatchDecision.Grant(item.offer.request, target.id, target.address, rule)
    }

    private companion object {
        private const val PERCENT = 100
    }
}
