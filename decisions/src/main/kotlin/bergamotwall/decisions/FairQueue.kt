package bergamotwall.decisions

import bergamotwall.model.RequestId
import java.util.TreeSet

/** An offer and the place that was found for it. */
internal class Placed<T>(val item: QueuedOffer, val place: T)

/**
 * Queue of one priority class, fair between flows by start-time fair queuing (Goyal, Vin and Cheng, 1996): a flow's
 * tag advances by the expected tokens over its weight. Within a flow the lowest sequence goes first. Not thread-safe.
 */
internal class FairQueue(private val weightOf: (String) -> Int) {
    private class Flow(var startTag: Double) {
        val waiting = TreeSet<QueuedOffer>()
    }

    private val flows = HashMap<String, Flow>()
    private val byRequest = HashMap<RequestId, QueuedOffer>()
    private var virtualTime = 0.0

    val size: Int get() = byRequest.size

    fun add(item: QueuedOffer) {
        val flow = flows.getOrPut(item.offer.flow) { Flow(virtualTime) }
        if (flow.waiting.isEmpty()) flow.startTag = maxOf(flow.startTag, virtualTime)
        flow.waiting += item
        byRequest[item.offer.request] = item
    }

    fun remove(request: RequestId): QueuedOffer? {
        val item = byRequest.remove(request) ?: return null
        flows.getValue(item.offer.flow).waiting -= item
        return item
    }

    fun find(request: RequestId): QueuedOffer? = byRequest[request]

    fun newest(): QueuedOffer? = byRequest.values.maxByOrNull { it.arrival }

    fun all(): List<QueuedOffer> = byRequest.values.toList()

    /** Takes the first offer, in fair order, for which [place] finds a target; looks at [depth] offers of each flow. */
    fun <T : Any> takeFirst(
        depth: Int,
        place: (QueuedOffer) -> T?,
    ): Placed<T>? {
        val ordered = flows.values.filter { it.waiting.isNotEmpty() }.sortedBy { it.startTag }
        return ordered.firstNotNullOfOrNull { flow -> firstOf(flow, depth, place)?.also { charge(flow, it.item) } }
    }

    private fun <T : Any> firstOf(
        flow: Flow,
        depth: Int,
        place: (QueuedOffer) -> T?,
    ): Placed<T>? =
        flow.waiting.asSequence().take(depth).firstNotNullOfOrNull { item -> place(item)?.let { Placed(item, it) } }

    private fun charge(
        flow: Flow,
        item: QueuedOffer,
    ) {
        virtualTime = maxOf(virtualTime, flow.startTag)
        flow.startTag += item.offer.expectedTokens.toDouble() / maxOf(1, weightOf(item.offer.flow))
        remove(item.offer.request)
        flows.entries.removeIf { it.value.waiting.isEmpty() && it.value.startTag <= virtualTime }
    }
}
