package bergamotwall.decisions.placement

import bergamotwall.decisions.admission.AdmissionControl
import bergamotwall.decisions.admission.AdmissionQueue
import bergamotwall.decisions.admission.Headroom
import bergamotwall.decisions.admission.QueuedRequest
import bergamotwall.decisions.admission.RequestQueues
import bergamotwall.decisions.crashes.CrashSuspicion
import bergamotwall.model.CrashRecord
import bergamotwall.model.DispatchRequest
import bergamotwall.model.NodeId
import bergamotwall.model.PriorityClass
import bergamotwall.model.RunFinished
import bergamotwall.model.RunOutcome
import kotlin.random.Random

/**
 * Admits requests to the targets of one shard: queueing, priorities, fair shares, headroom and choice of the target. It
 * is the only place that admits work to these targets.
 *
 * Guarantees: a request is granted at most one target at a time; a refused request did not run; no request is granted a
 * stopping, swapping or unreachable target. Not thread-safe: one coroutine drives it, with the time of a monotonic
 * clock. Decisions are reproducible from the seed of [random].
 */
public class Dispatcher(
    private val limits: DispatchLimits,
    weightOf: (String) -> Int,
    random: Random,
) {
    private val targets = Targets()
    private val suspicion = CrashSuspicion()
    private val headroom = Headroom()
    private val permits = PermitTable(headroom)
    private val placement = Placement(targets, permits, suspicion, random)
    private val decisions = ArrayList<DispatchDecision>()
    private val queues = RequestQueues(weightOf)
    private val admission = AdmissionControl(limits, queues, suspicion)
    private val queue = AdmissionQueue(queues, admission, targets, decisions)
    private val feedback = RunFeedback(limits, targets, suspicion, placement, admission.waits)

    /** Applies [event] at [nowMillis] and returns the resulting decisions. */
    public fun handle(
        event: DispatchEvent,
        nowMillis: Long,
    ): List<DispatchDecision> {
        apply(event, nowMillis)
        dispatch(nowMillis)
        return decisions.toList().also { decisions.clear() }
    }

    /** Crash evidence for the dispatchers of other shards. */
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
            is DispatchEvent.TargetsChanged -> targets.update(event.targets)
            is DispatchEvent.TargetReported ->
                targets[event.target]?.let { placement.reported(it, event.report, nowMillis) }
            is DispatchEvent.TargetUnresponsive -> targets[event.target]?.failed(nowMillis, limits)
            is DispatchEvent.RequestReceived -> requestReceived(event.request, nowMillis)
            is DispatchEvent.Withdrawn -> queue.remove(event.id) ?: permits.release(event.id, nowMillis)
            is DispatchEvent.RequesterLost -> requesterLost(event.requester, nowMillis)
            is DispatchEvent.RunEnded -> runEnded(event.finished, nowMillis)
            is DispatchEvent.CrashesReceived -> {
                suspicion.merge(event.records, nowMillis)
                queue.refuseQuarantined(nowMillis)
            }
            DispatchEvent.Tick -> {
                queue.refuseExpired(nowMillis)
                permits.releaseExpired(nowMillis)
            }
        }
    }

    /** An outstanding permit is granted again, because the response to the first request may have been lost. */
    private fun requestReceived(
        request: DispatchRequest,
        nowMillis: Long,
    ) {
        val permit = permits.find(request.id)
        if (permit != null) {
            decisions +=
                DispatchDecision.Grant(request.id, permit.target.id, permit.target.address, "repeated request")
        } else if (!queue.contains(request.id)) {
            queue.admit(request, nowMillis)
        }
    }

    private fun requesterLost(
        requester: NodeId,
        nowMillis: Long,
    ) {
        queue.removeAllOf(requester)
        permits.releaseAllOf(requester, nowMillis)
    }

    private fun runEnded(
        finished: RunFinished,
        nowMillis: Long,
    ) {
        permits.release(finished.request, nowMillis)?.let { feedback.apply(it, finished, nowMillis) }
        if (finished.outcome == RunOutcome.BROKEN) queue.refuseQuarantined(nowMillis)
    }

    private fun dispatch(nowMillis: Long) {
        for (priorityClass in PriorityClass.entries) {
            val waiting = queue.of(priorityClass)
            while (waiting.size > 0 && headroom.admits(priorityClass, targets.capacity(nowMillis))) {
                val placed = waiting.takeFirst(limits.scanDepth) { placement.place(it.request, nowMillis) } ?: break
                grant(placed.queued, placed.target, nowMillis)
            }
        }
    }

    private fun grant(
        queued: QueuedRequest,
        target: TargetState,
        nowMillis: Long,
    ) {
        val rule = "lowest cost of the sampled targets, pressure ${(target.pressure * PERCENT).toInt()}%"
        permits.issue(Permit(queued.request, target, queued.deadlineMillis + limits.permitGraceMillis))
        placement.granted(queued.request, target)
        admission.waits.granted(nowMillis - queued.arrivedAtMillis)
        decisions += DispatchDecision.Grant(queued.request.id, target.id, target.address, rule)
    }

    private companion object {
        private const val PERCENT = 100
    }
}
