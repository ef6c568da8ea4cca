package bergamotwall.decisions

import bergamotwall.model.NodeId
import bergamotwall.model.Offer
import bergamotwall.model.PriorityClass
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId

/** Offers that wait, and the refusals of those that may not; refusals go to [decisions]. Not thread-safe. */
internal class AdmissionQueue(
    private val queues: OfferQueues,
    private val admission: Admission,
    private val suspicion: CrashSuspicion,
    private val targets: Targets,
    private val decisions: MutableList<DispatchDecision>,
) {
    val size: Int get() = queues.size

    fun of(priorityClass: PriorityClass): FairQueue = queues.of(priorityClass)

    fun holds(request: RequestId): Boolean = queues.holds(request)

    fun remove(request: RequestId): QueuedOffer? = queues.remove(request)

    fun removeAllOf(requester: NodeId): List<QueuedOffer> = queues.removeIf { it.offer.requester == requester }

    /** Queues [offer], or refuses it, or the newest of a lower class in its place when the queues are full. */
    fun admit(
        offer: Offer,
        nowMillis: Long,
    ) {
        val refusal = admission.refusal(offer, targets.size > 0, targets.capacity(nowMillis), nowMillis)
        val full = refusal == null && admission.full()
        val victim = if (full) queues.shedBelow(offer.priorityClass)?.offer ?: offer else null
        when {
            refusal != null -> decisions += DispatchDecision.Refuse(offer.request, refusal, refusal.detail)
            victim != null -> refuse(victim, ProblemKind.OVERLOADED, "the queue is full", nowMillis)
        }
        if (refusal == null && victim != offer) queues.add(offer, nowMillis)
    }

    fun refuseExpired(nowMillis: Long): Unit =
        queues
            .removeIf { it.deadlineMillis <= nowMillis }
            .forEach { refuse(it.offer, ProblemKind.DEADLINE, "the deadline passed in the queue", nowMillis) }

    fun refuseQuarantined(nowMillis: Long): Unit =
        queues
            .removeIf { suspicion.standing(it.offer.fingerprint, nowMillis) == Standing.QUARANTINED }
            .forEach { refuse(it.offer, ProblemKind.QUARANTINED, Admission.QUARANTINED, nowMillis) }

    private fun refuse(
        offer: Offer,
        kind: ProblemKind,
        rule: String,
        nowMillis: Long,
    ) {
        val problem = admission.problem(offer, kind, rule, targets.capacity(nowMillis))
        decisions += DispatchDecision.Refuse(offer.request, problem, rule)
    }
}
