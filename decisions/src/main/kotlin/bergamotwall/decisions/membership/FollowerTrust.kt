package bergamotwall.decisions.membership

import bergamotwall.model.NodeId

/**
 * Which followers a reader asks, and how. Not thread-safe.
 *
 * Failure: followers are killed, paused, or cut off from some readers for a long time. A follower that failed is
 * avoided for [firstAvoidMillis], twice as long after each further failure, up to [maxAvoidMillis]. It is asked again
 * without a wait, so that a follower that still fails costs a short timeout, and gets long polls only after such a
 * response. Its failures are forgotten after a long poll that was answered, as a path may carry the short polls only.
 */
public class FollowerTrust(private val firstAvoidMillis: Long, private val maxAvoidMillis: Long) {
    private val failures = HashMap<NodeId, Failures>()
    private var trusted: NodeId? = null

    /** The followers to ask now, out of [order]. */
    public fun usable(
        order: List<NodeId>,
        nowMillis: Long,
    ): List<NodeId> {
        failures.keys.retainAll(order.toSet())
        return order.filter { id -> failures[id]?.let { nowMillis >= it.avoidedUntilMillis } ?: true }
    }

    /** Whether [id] gave the last response, and may be sent a long poll. */
    public fun trusts(id: NodeId): Boolean = id == trusted

    /** Records an accepted response of [id]. */
    public fun succeeded(id: NodeId) {
        if (id == trusted) failures.remove(id)
        trusted = id
    }

    /** Records that [id] failed at [nowMillis]. */
    public fun failed(
        id: NodeId,
        nowMillis: Long,
    ) {
        if (id == trusted) trusted = null
        val count = (failures[id]?.count ?: 0) + 1
        val avoidMillis = (firstAvoidMillis shl minOf(count - 1, MAX_DOUBLINGS)).coerceAtMost(maxAvoidMillis)
        failures[id] = Failures(count, nowMillis + avoidMillis)
    }

    /** Records that the service itself was asked: no follower is trusted. */
    public fun bypassed() {
        trusted = null
    }

    private class Failures(val count: Int, val avoidedUntilMillis: Long)

    private companion object {
        private const val MAX_DOUBLINGS = 16
    }
}
