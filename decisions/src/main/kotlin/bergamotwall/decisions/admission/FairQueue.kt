package bergamotwall.decisions.admission

import bergamotwall.model.RequestId
import java.util.TreeSet

/** A queued request and the target that was chosen for it. */
internal class Placed<T>(val queued: QueuedRequest, val target: T)

/**
 * Queue of one priority class, fair between flows by start-time fair queuing (Goyal, Vin and Cheng, 1996): a flow's
 * start tag advances by the expected tokens of each dispatched request divided by the flow's weight. Within a flow the
 * request with the lowest sequence goes first. Not thread-safe.
 */
internal class FairQueue(private val weightOf: (String) -> Int) {
    private class Flow(var startTag: Double) {
        val waiting = TreeSet<QueuedRequest>()
    }

    private val flows = HashMap<String, Flow>()
    private val byId = HashMap<RequestId, QueuedRequest>()
    private var virtualTime = 0.0

    val size: Int get() = byId.size

    fun add(queued: QueuedRequest) {
        val flow = flows.getOrPut(queued.request.flow) { Flow(virtualTime) }
        if (flow.waiting.isEmpty()) flow.startTag = maxOf(flow.startTag, virtualTime)
        flow.waiting += queued
        byId[queued.request.id] = queued
    }

    fun remove(id: RequestId): QueuedRequest? {
        val queued = byId.remove(id) ?: return null
        flows.getValue(queued.request.flow).waiting -= queued
        return queued
    }

    fun find(id: RequestId): QueuedRequest? = byId[id]

    fun newest(): QueuedRequest? = byId.values.maxByOrNull { it.arrival }

    fun all(): List<QueuedRequest> = byId.values.toList()

    /**
     * Removes and returns the first request, in fair order, for which [place] finds a target. Considers the first
     * [depth] requests of each flow.
     */
    fun <T : Any> takeFirst(
        depth: Int,
        place: (QueuedRequest) -> T?,
    ): Placed<T>? {
        val ordered = flows.values.filter { it.waiting.isNotEmpty() }.sortedBy { it.startTag }
        return ordered.firstNotNullOfOrNull { flow -> firstOf(flow, depth, place)?.also { charge(flow, it.queued) } }
    }

    private fun <T : Any> firstOf(
        flow: Flow,
        depth: Int,
        place: (QueuedRequest) -> T?,
    ): Placed<T>? =
        flow.waiting
            .asSequence()
            .take(depth)
            .firstNotNullOfOrNull { queued -> place(queued)?.let { Placed(queued, it) } }

    private fun charge(
        flow: Flow,
        queued: QueuedRequest,
    ) {
        virtualTime = maxOf(virtualTime, flow.startTag)
        flow.startTag += queued.request.expectedTokens.toDouble() / maxOf(1, weightOf(queued.request.flow))
        remove(queued.request.id)
        flows.entries.removeIf { it.value.waiting.isEmpty() && it.value.startTag <= virtualTime }
    }
}
