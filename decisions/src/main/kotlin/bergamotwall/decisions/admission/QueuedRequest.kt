package bergamotwall.decisions.admission

import bergamotwall.model.DispatchRequest

/** A request that waits for a permit, ordered by sequence. [arrival] breaks ties. */
internal class QueuedRequest(
    val request: DispatchRequest,
    val arrival: Long,
    val arrivedAtMillis: Long,
    val deadlineMillis: Long,
) : Comparable<QueuedRequest> {
    override fun compareTo(other: QueuedRequest): Int =
        compareValuesBy(this, other, { it.request.sequence }, { it.arrival })
}
