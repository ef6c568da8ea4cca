package bergamotwall.decisions.admission

import bergamotwall.decisions.placement.DispatchDecision
import bergamotwall.decisions.placement.Targets
import bergamotwall.model.DispatchRequest
import bergamotwall.model.NodeId
import bergamotwall.model.PriorityClass
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId

/** Queued requests behind admission control. Refusals are appended to [decisions]. Not thread-safe. */
internal class AdmissionQueue(
    private val queues: RequestQueues,
    private val admission: AdmissionControl,
    private val targets: Targets,
    private val decisions: MutableList<DispatchDecision>,
) {
    val size: Int get() = queues.size

    fun of(priorityClass: PriorityClass): FairQueue = queues.of(priorityClass)

    fun contains(id: RequestId): Boolean = queues.contains(id)

    fun remove(id: RequestId): QueuedRequest? = queues.remove(id)

    fun removeAllOf(requester: NodeId): List<QueuedRequest> = queues.removeIf { it.request.requester == requester }

    /** Queues [request] or refuses it. If the queues are full, the newest request of a lower class is shed instead. */
    fun admit(
        request: DispatchRequest,
        nowMillis: Long,
    ) {
        val refusal = admission.refusal(request, targets.size > 0, targets.capacity(nowMillis), nowMillis)
        val full = refusal == null && admission.queuesFull()
        val victim = if (full) queues.shedBelow(request.priorityClass)?.request ?: request else null
        when {
            refusal != null -> decisions += DispatchDecision.Refuse(request.id, refusal, refusal.detail)
            victim != null -> refuse(victim, ProblemKind.OVERLOADED, "the queue is full", nowMillis)
        }
        if (refusal == null && victim != request) queues.add(request, nowMillis)
    }

    fun refuseExpired(nowMillis: Long): Unit =
        queues
            .removeIf { it.deadlineMillis <= nowMillis }
            .forEach { refuse(it.request, ProblemKind.DEADLINE, "the deadline passed in the queue", nowMillis) }

    fun refuseQuarantined(nowMillis: Long): Unit =
        queues
            .removeIf { admission.quarantined(it.request, nowMillis) }
            .forEach { refuse(it.request, ProblemKind.QUARANTINED, AdmissionControl.QUARANTINED, nowMillis) }

    private fun refuse(
        request: DispatchRequest,
        kind: ProblemKind,
        rule: String,
        nowMillis: Long,
    ) {
        val problem = admission.problem(request, kind, rule, targets.capacity(nowMillis))
        decisions += DispatchDecision.Refuse(request.id, problem, rule)
    }
}
