package bergamotwall.gateway.targets

import bergamotwall.decisions.admission.RateShare
import bergamotwall.decisions.admission.RequestLimit
import java.util.concurrent.atomic.AtomicReference

/**
 * The limit that a target names on the requests that it takes from all processes, and its use by this one. Thread-safe.
 */
public class TargetLimit {
    private class State(val limit: RequestLimit?, val ended: Boolean = false)

    private val state = AtomicReference(State(null))

    /** Requests a second that the target takes, or null if it names no limit. */
    public val perSecond: Double? get() = state.get().limit?.perSecond

    /** Whether this process was told by the target that its limit has ended, and other processes may not know yet. */
    public val ended: Boolean get() = state.get().ended

    /**
     * Records that the response to a request sent at [sentAtMillis], received at [nowMillis], names a limit of
     * [newPerSecond] or none. A response to a request from before the limit was last named does not lift it.
     */
    public fun reported(
        newPerSecond: Double?,
        sentAtMillis: Long,
        nowMillis: Long,
    ) {
        state.updateAndGet { old ->
            when {
                newPerSecond != null -> State(named(old, newPerSecond, nowMillis))
                old.limit == null || sentAtMillis < old.limit.namedAtMillis -> old
                else -> State(null, ended = true)
            }
        }
    }

    /** Applies the limit that another process has shared, null if it was lifted. */
    public fun shared(
        newPerSecond: Double?,
        nowMillis: Long,
    ) {
        state.updateAndGet { old -> State(newPerSecond?.let { named(old, it, nowMillis) }) }
    }

    /** The state at [nowMillis] for a process with the share that [shareOf] tells; null if there is no limit. */
    internal fun view(
        nowMillis: Long,
        shareOf: (Double) -> RateShare,
    ): LimitView? =
        state.get().limit?.let { limit ->
            val share = shareOf(limit.perSecond)
            LimitView(
                limit.perSecond,
                nowMillis - limit.namedAtMillis,
                share.perSecond,
                limit.admitted(share, nowMillis),
                limit.waitMillis(share, nowMillis),
            )
        }

    /** Number of requests that may be sent at [nowMillis] by a process with [share] of the limit. */
    public fun admitted(
        share: RateShare,
        nowMillis: Long,
    ): Int = state.get().limit?.admitted(share, nowMillis) ?: Int.MAX_VALUE

    /** Time from [nowMillis] until a process with [share] of the limit may send a request. */
    public fun waitMillis(
        share: RateShare,
        nowMillis: Long,
    ): Long = state.get().limit?.waitMillis(share, nowMillis) ?: 0

    /** Records a request that a process with [share] of the limit sends at [nowMillis]. */
    public fun sent(
        share: RateShare,
        nowMillis: Long,
    ) {
        state.updateAndGet { old -> State(old.limit?.sent(share, nowMillis), old.ended) }
    }

    private fun named(
        old: State,
        perSecond: Double,
        nowMillis: Long,
    ): RequestLimit = old.limit?.named(perSecond, nowMillis) ?: RequestLimit(perSecond, nowMillis)
}
