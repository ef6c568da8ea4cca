package bergamotwall.decisions.duties

import bergamotwall.model.FencingNumber

/**
 * A lease as its holder sees it, on the holder's monotonic clock.
 *
 * Its term is counted from before the request that granted or renewed it was sent, so that the lease always expires for
 * the holder before it expires at the service. [marginMillis] covers the drift between both clocks and the time that an
 * order is in flight.
 */
public data class LeaseHolding(
    val fence: FencingNumber,
    val requestedAtMillis: Long,
    val ttlMillis: Long,
    val marginMillis: Long,
) {
    /** Whether an order may still be sent at [nowMillis]. */
    public fun mayAct(nowMillis: Long): Boolean = nowMillis < requestedAtMillis + ttlMillis - marginMillis

    /** The lease after a renewal that was requested at [requestedAtMillis] and confirmed. */
    public fun renewed(requestedAtMillis: Long): LeaseHolding =
        copy(requestedAtMillis = maxOf(this.requestedAtMillis, requestedAtMillis))

    /** Whether a renewal is due at [nowMillis]. */
    public fun renewalDue(nowMillis: Long): Boolean = nowMillis >= requestedAtMillis + ttlMillis / RENEWALS_PER_TTL

    private companion object {
        private const val RENEWALS_PER_TTL = 3
    }
}
