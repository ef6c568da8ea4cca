package bergamotwall.decisions.admission

import bergamotwall.model.DispatchRequest
import bergamotwall.model.PriorityClass
import bergamotwall.model.RequestId

/** The queues of a dispatcher, one for each priority class. Not thread-safe. */
internal class RequestQueues(weightOf: (String) -> Int) {
    private val byClass = PriorityClass.entries.map { FairQueue(weightOf) }
    private var arrivals = 0L

    val size: Int get() = byClass.sumOf { it.size }

    fun of(priorityClass: PriorityClass): FairQueue = byClass[priorityClass.ordinal]

    fun add(
        request: DispatchRequest,
        nowMillis: Long,
    ): Unit =
        of(request.priorityClass)
            .add(QueuedRequest(request, arrivals++, nowMillis, nowMillis + request.deadlineInMillis))

    fun contains(id: RequestId): Boolean = byClass.any { it.find(id) != null }

    fun remove(id: RequestId): QueuedRequest? = byClass.firstNotNullOfOrNull { it.remove(id) }

    fun removeIf(condition: (QueuedRequest) -> Boolean): List<QueuedRequest> =
        byClass.flatMap { it.all() }.filter(condition).onEach { remove(it.request.id) }

    /** Removes and returns the newest request of the lowest class, if that class is below [priorityClass]. */
    fun shedBelow(priorityClass: PriorityClass): QueuedRequest? {
        val lowest = byClass.indices.lastOrNull { byClass[it].size > 0 } ?: return null
        val victim = if (lowest > priorityClass.ordinal) byClass[lowest].newest() else null
        return victim?.also { remove(it.request.id) }
    }

    /** Number of queued requests that are served before a new one of [priorityClass]. */
    fun aheadOf(priorityClass: PriorityClass): Int = byClass.take(priorityClass.ordinal + 1).sumOf { it.size }
}
