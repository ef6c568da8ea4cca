package bergamotwall.decisions

import bergamotwall.model.Offer

/** An offer that waits for a permit. [arrival] orders equals. */
internal class QueuedOffer(
    val offer: Offer,
    val arrival: Long,
    val arrivedAtMillis: Long,
    val deadlineMillis: Long,
) : Comparable<QueuedOffer> {
    override fun compareTo(other: QueuedOffer): Int =
        compareValuesBy(this, other, { it.offer.sequence }, { it.arrival })
}
