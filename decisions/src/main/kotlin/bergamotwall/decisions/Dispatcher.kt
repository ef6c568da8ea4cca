package bergamotwall.decisions

import bergamotwall.model.CrashRecord
import bergamotwall.model.Finished
import bergamotwall.model.NodeId
import bergamotwall.model.Offer
import bergamotwall.model.PriorityClass
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.RunOutcome
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
import kotlin.random.Random

/**
 * The one place that admits work to the targets of a shard: queue, priorities, fair shares, headroom and choice.
 *
 * Guarantees: a request is granted at most one target at a time; a refusal means that it did not run; no work is
 * granted to a stopping, swapping or unreachable target. Not thread-safe: one coroutine drives it, with [nowMillis]
 * of a monotonic clock. Decisions replay from the seed of [random].
 */
public class Dispatcher(
    private val limits: DispatchLimits,
    weightOf: (String) -> Int,
    random: Random,
) {
    private class Permit(val offer: Offer, val target: TargetState, val expiresAtMillis: Long)

    private val targets = Targets()
    private val prefixes = PrefixMap()
    private val choice = ReplicaChoice(prefixes, random)
    private val suspicion = CrashSuspicion()
    private val blame = Blame(suspicion)
    private val headroom = Headroom()
    private val waits = WaitEstimator()
    private val queues = PriorityClass.entries.map { FairQueue(weightOf) }
    private val permits = HashMap<RequestId, Permit>()
    private val decisions = ArrayList<DispatchDecision>()
    private var arrivals = 0L

    /** Takes the decisions made since the last call. */
    public fun take(): List<DispatchDecision> = decisions.toList().also { decisions.clear() }

    /** The fleet view changed; [listed] are the targets of this shard. */
    public fun targets(
        listed: List<DispatchTarget>,
        nowMillis: Long,
    ) {
        targets.update(listed)
        dispatch(nowMillis)
    }

    /** [target] reported on itself. */
    public fun report(
        target: TargetId,
        report: TargetReport,
        nowMillis: Long,
    ) {
        val state = targets[target] ?: return
        blame.reported(target, report.bootId)
        if (state.bootId != report.bootId) prefixes.forget(target)
        state.report(report, nowMillis)
        prefixes.reported(target, report.cachedPrefixes, report.cacheSequence)
        dispatch(nowMillis)
    }

    /** [target] did not answer. */
    public fun silent(
        target: TargetId,
        nowMillis: Long,
    ) {
        targets[target]?.failed(nowMillis, limits)
    }

    /** A request asks for a permit. Asking twice changes nothing. */
    public fun offer(
        offer: Offer,
        nowMillis: Long,
    ) {
        val permit = permits[offer.request]
        val queue = queues[offer.priorityClass.ordinal]
        if (permit != null) {
            decisions += DispatchDecision.Grant(offer.request, permit.target.id, permit.target.address, "asked again")
        } else if (queue.find(offer.request) == null && admissible(offer, nowMillis)) {
            queue.add(QueuedOffer(offer, arrivals++, nowMillis, nowMillis + offer.deadlineInMillis))
            dispatch(nowMillis)
        }
    }

    /** The requester no longer wants [request]: it leaves the queue, or its permit returns. */
    public fun withdraw(
        request: RequestId,
        nowMillis: Long,
    ) {
        queues.forEach { it.remove(request) }
        release(request, nowMillis)
        dispatch(nowMillis)
    }

    /** All of [requester]'s offers and permits are void: the node is dead. */
    public fun requesterLost(
        requester: NodeId,
        nowMillis: Long,
    ) {
        val queued = queues.flatMap { it.all() }.map { it.offer }
        val held = permits.values.map { it.offer }
        (queued + held).filter { it.requester == requester }.forEach { offer ->
            queues[offer.priorityClass.ordinal].remove(offer.request)
            release(offer.request, nowMillis)
        }
        dispatch(nowMillis)
    }

    /** A permit returns with the outcome of its run. */
    public fun finished(
        finished: Finished,
        nowMillis: Long,
    ) {
        val permit = release(finished.request, nowMillis)
        val target = targets[finished.target]
        if (permit != null && target != null) learn(permit, target, finished, nowMillis)
        dispatch(nowMillis)
    }

    /** Time passed: expired offers are refused, expired permits return. */
    public fun tick(nowMillis: Long) {
        queues.flatMap { it.expired(nowMillis) }.forEach { item ->
            queues[item.offer.priorityClass.ordinal].remove(item.offer.request)
            refuse(item.offer, ProblemKind.DEADLINE, "the deadline passed in the queue", nowMillis)
        }
        permits.filterValues { it.expiresAtMillis <= nowMillis }.keys.toList().forEach { release(it, nowMillis) }
        dispatch(nowMillis)
    }

    /** Crash evidence to spread. */
    public fun crashRecords(nowMillis: Long): List<CrashRecord> = suspicion.records(nowMillis)

    /** Crash evidence heard from other shards. */
    public fun mergeCrashes(
        heard: List<CrashRecord>,
        nowMillis: Long,
    ): Unit = suspicion.merge(heard, nowMillis)

    /** Current load, for metrics and status. */
    public fun load(nowMillis: Long): DispatchLoad =
        DispatchLoad(
            queued = queues.sumOf { it.size },
            running = permits.size,
            capacity = capacity(nowMillis),
            reserved = headroom.reserved(capacity(nowMillis)),
        )

    private fun admissible(
        offer: Offer,
        nowMillis: Long,
    ): Boolean {
        val quarantined = suspicion.standing(offer.fingerprint, nowMillis) == Standing.QUARANTINED
        val waitMillis = expectedWaitMillis(offer, nowMillis)
        when {
            quarantined -> refuse(offer, ProblemKind.QUARANTINED, "this content crashed its targets", nowMillis)
            targets.size == 0 -> refuse(offer, ProblemKind.UNAVAILABLE, "no target serves this", nowMillis)
            waitMillis > offer.deadlineInMillis ->
                refuse(offer, ProblemKind.OVERLOADED, "the queue is longer than the deadline", nowMillis)
            queues.sumOf { it.size } >= limits.maxQueued && !shed(offer, nowMillis) ->
                refuse(offer, ProblemKind.OVERLOADED, "the queue is full", nowMillis)
            else -> return true
        }
        return false
    }

    private fun shed(
        offer: Offer,
        nowMillis: Long,
    ): Boolean {
        val lowest = queues.indices.last { queues[it].size > 0 }
        val victim = queues[lowest].newest()
        if (lowest <= offer.priorityClass.ordinal || victim == null) return false
        queues[lowest].remove(victim.offer.request)
        refuse(victim.offer, ProblemKind.OVERLOADED, "gave way to a higher class", nowMillis)
        return true
    }

    private fun expectedWaitMillis(
        offer: Offer,
        nowMillis: Long,
    ): Long {
        val ahead = queues.take(offer.priorityClass.ordinal + 1).sumOf { it.size }
        return waits.expectedMillis(ahead, capacity(nowMillis))
    }

    private fun refuse(
        offer: Offer,
        kind: ProblemKind,
        rule: String,
        nowMillis: Long,
    ) {
        val retryAfterMillis = maxOf(MIN_RETRY_AFTER_MILLIS, expectedWaitMillis(offer, nowMillis))
        val retryAfter = if (kind == ProblemKind.QUARANTINED) null else retryAfterMillis
        val problem = bergamotwall.model.Problem(kind, rule, retryAfterMillis = retryAfter)
        decisions += DispatchDecision.Refuse(offer.request, problem, rule)
    }

    private fun capacity(nowMillis: Long): Int = targets.all().sumOf { if (it.usable(nowMillis)) it.capacity else 0 }

    private fun dispatch(nowMillis: Long) {
        for (priorityClass in PriorityClass.entries) {
            val queue = queues[priorityClass.ordinal]
            while (queue.size > 0 && headroom.admits(priorityClass, capacity(nowMillis))) {
                val (item, target) = queue.takeFirst(limits.scanDepth) { place(it.offer, nowMillis) } ?: break
                grant(item, target, nowMillis)
            }
        }
        refuseQuarantined(nowMillis)
    }

    private fun refuseQuarantined(nowMillis: Long) {
        if (suspicion.records(nowMillis).none { it.targets.size >= CrashSuspicion.MAX_TARGETS }) return
        queues.flatMap { it.all() }.map { it.offer }.forEach { offer ->
            if (suspicion.standing(offer.fingerprint, nowMillis) == Standing.QUARANTINED) {
                queues[offer.priorityClass.ordinal].remove(offer.request)
                refuse(offer, ProblemKind.QUARANTINED, "this content crashed its targets", nowMillis)
            }
        }
    }

    private fun place(
        offer: Offer,
        nowMillis: Long,
    ): TargetState? {
        val excluded = if (othersUsable(offer, nowMillis)) offer.excluded else emptySet()
        return choice.choose(targets, offer.prefix, offer.dataCentre) { target ->
            target.free > 0 &&
                target.usable(nowMillis) &&
                target.version >= offer.minVersion &&
                target.id !in excluded &&
                blame.allows(target, offer.request, offer.fingerprint, targets, nowMillis)
        }
    }

    private fun othersUsable(
        offer: Offer,
        nowMillis: Long,
    ): Boolean = offer.excluded.isNotEmpty() && targets.all().any { it.id !in offer.excluded && it.usable(nowMillis) }

    private fun grant(
        item: QueuedOffer,
        target: TargetState,
        nowMillis: Long,
    ) {
        val offer = item.offer
        target.running[offer.request] = offer.fingerprint
        prefixes.sent(offer.prefix, target.id)
        headroom.granted(offer.priorityClass)
        waits.granted(nowMillis - item.arrivedAtMillis)
        permits[offer.request] = Permit(offer, target, item.deadlineMillis + limits.permitGraceMillis)
        val rule = "least cost of sampled, pressure ${(target.pressure * PERCENT).toInt()}%"
        decisions += DispatchDecision.Grant(offer.request, target.id, target.address, rule)
    }

    private fun release(
        request: RequestId,
        nowMillis: Long,
    ): Permit? {
        val permit = permits.remove(request) ?: return null
        permit.target.running.remove(request)
        permit.target.released(nowMillis)
        headroom.released(permit.offer.priorityClass)
        return permit
    }

    private fun learn(
        permit: Permit,
        target: TargetState,
        finished: Finished,
        nowMillis: Long,
    ) {
        when (finished.outcome) {
            RunOutcome.WHOLE -> {
                suspicion.ranWhole(permit.offer.fingerprint)
                target.observeFirstToken(finished.firstTokenMillis.toDouble(), limits.slowFactor)
                targets.observeFirstToken(finished.firstTokenMillis.toDouble())
                waits.ran(finished.durationMillis)
            }
            RunOutcome.BROKEN -> {
                target.failed(nowMillis, limits)
                blame.broke(target, listOf(permit.offer.fingerprint), nowMillis)
            }
            RunOutcome.NOT_STARTED -> target.failed(nowMillis, limits)
            RunOutcome.CANCELLED -> Unit
        }
        finished.versions.maxOrNull()?.let { target.version = maxOf(target.version, it) }
    }

    private companion object {
        private const val MIN_RETRY_AFTER_MILLIS = 100L
        private const val PERCENT = 100
    }
}
