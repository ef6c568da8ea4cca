package bergamotwall.gateway.targets

import bergamotwall.decisions.RateShare
import bergamotwall.decisions.RequestLimit
import java.util.concurrent.atomic.AtomicReference

/**
 * The limit that a target names on the requests that it takes from all processes, and its use by this one. Thread-safe.
 */
public class TargetLimit {
    private val limit = AtomicReference<RequestLimit?>()

    /** Requests a second that the target takes, or null if it names no limit. */
    public val perSecond: Double? get() = limit.get()?.perSecond

    /**
     * Records that the response to a request sent at [sentAtMillis], received at [nowMillis], names a limit of
     * [newPerSecond] or none. A response to a request from before the limit was last named does not lift it.
     */
    public fun reported(
        newPerSecond: Double?,
        sentAtMillis: Long,
        nowMillis: Long,
    ) {
        limit.updateAndGet { old ->
            when {
                newPerSecond != null -> old?.named(newPerSecond, nowMillis) ?: RequestLimit(newPerSecond, nowMillis)
                old != null && sentAtMillis < old.namedAtMillis -> old
                else -> null
            }
        }
    }

    /** Applies the limit that another process has shared, null if it was lifted. */
    public fun shared(
        newPerSecond: Double?,
        nowMillis: Long,
    ) {
        limit.updateAndGet { old ->
            newPerSecond?.let { old?.named(it, nowMillis) ?: RequestLimit(it, nowMillis) }
        }
    }

    /** Number of requests that may be sent at [nowMillis] by a process with [share] of the limit. */
    public fun admitted(
        share: RateShare,
        nowMillis: Long,
    ): Int = limit.get()?.admitted(share, nowMillis) ?: Int.MAX_VALUE

    /** Time from [nowMillis] until a process with [share] of the limit may send a request. */
    public fun waitMillis(
        share: RateShare,
        nowMillis: Long,
    ): Long = limit.get()?.waitMillis(share, nowMillis) ?: 0

    /** Records a request that a process with [share] of the limit sends at [nowMillis]. */
    public fun sent(
        share: RateShare,
        nowMillis: Long,
    ) {
        limit.updateAndGet { it?.sent(share, nowMillis) }
    }
}
