package bergamotwall.decisions

import bergamotwall.model.Offer
import bergamotwall.model.PriorityClass
import bergamotwall.model.RequestId

/** The queues of a dispatcher, one for each priority class. Not thread-safe. */
internal class OfferQueues(weightOf: (String) -> Int) {
    private val byClass = PriorityClass.entries.map { FairQueue(weightOf) }
    private var arrivals = 0L

    val size: Int get() = byClass.sumOf { it.size }

    fun of(priorityClass: PriorityClass): FairQueue = byClass[priorityClass.ordinal]

    fun add(
        offer: Offer,
        nowMillis: Long,
    ): Unit = of(offer.priorityClass).add(QueuedOffer(offer, arrivals++, nowMillis, nowMillis + offer.deadlineInMillis))

    fun holds(request: RequestId): Boolean = byClass.any { it.find(request) != null }

    fun remove(request: RequestId): QueuedOffer? = byClass.firstNotNullOfOrNull { it.remove(request) }

    fun removeIf(condition: (QueuedOffer) -> Boolean): List<QueuedOffer> =
        byClass.flatMap { it.all() }.filter(condition).onEach { remove(it.offer.request) }

    /** Takes the newest offer of the lowest class, if that is below [priorityClass]. */
    fun shedBelow(priorityClass: PriorityClass): QueuedOffer? {
        val lowest = byClass.indices.lastOrNull { byClass[it].size > 0 } ?: return null
        val victim = if (lowest > priorityClass.ordinal) byClass[lowest].newest() else null
        return victim?.also { remove(it.offer.request) }
    }

    /** Offers that go before a new one of [priorityClass]. */
    fun aheadOf(priorityClass: PriorityClass): Int = byClass.take(priorityClass.ordinal + 1).sumOf { it.size }
}
