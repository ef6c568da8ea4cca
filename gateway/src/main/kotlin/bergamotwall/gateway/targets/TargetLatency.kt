package bergamotwall.gateway.targets

import bergamotwall.decisions.placement.CandidateTarget
import bergamotwall.decisions.placement.TargetSpeed
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.math.roundToLong

/** How long requests take at one target, by its responses and its reports of a slowdown. Thread-safe. */
public class TargetLatency {
    private val smoothedMillis = AtomicLong()
    private val speed = AtomicReference(TargetSpeed())

    /** Whether the target reports that its speed varies. */
    internal val varies: Boolean get() = speed.get().reported

    /** When a duration was last measured, on the monotonic clock; null if none was. */
    @Volatile
    internal var measuredAtMillis: Long? = null
        private set

    /** Records a report, received at [nowMillis], of a slowdown of [percent], or of none. */
    internal fun reported(
        percent: Int?,
        nowMillis: Long,
    ) {
        speed.updateAndGet { it.reported(percent, nowMillis) }
    }

    /** Records a complete response, received at [nowMillis], to a request sent at [sentAtMillis]. */
    public fun succeeded(
        sentAtMillis: Long,
        nowMillis: Long,
    ) {
        measuredAtMillis = nowMillis
        val millis = nowMillis - sentAtMillis
        smoothedMillis.updateAndGet { old -> if (old == 0L) millis else old + (millis - old) / LATENCY_SMOOTHING }
        speed.updateAndGet { it.completed(sentAtMillis, nowMillis) }
    }

    /**
     * Records that a request sent at [sentAtMillis] was cancelled at [nowMillis], because another target had responded.
     */
    public fun outlasted(
        sentAtMillis: Long,
        nowMillis: Long,
    ) {
        val millis = nowMillis - sentAtMillis
        smoothedMillis.updateAndGet { old ->
            if (old in 1 until millis) old + (millis - old) / LATENCY_SMOOTHING else old
        }
        speed.updateAndGet { it.outlasted(sentAtMillis, nowMillis) }
    }

    /** Records [tokens] of an item that were generated from [sentAtMillis] to [nowMillis]. */
    public fun generated(
        tokens: Int,
        sentAtMillis: Long,
        nowMillis: Long,
    ) {
        speed.updateAndGet { it.generated(tokens, sentAtMillis, nowMillis) }
    }

    /** [candidate] with what is known at [nowMillis]. */
    internal fun applyTo(
        candidate: CandidateTarget,
        nowMillis: Long,
    ): CandidateTarget {
        val speedNow = speed.get()
        val slowdown = speedNow.slowdownAt(nowMillis) ?: return candidate.copy(latencyMillis = smoothedMillis.get())
        return candidate.copy(
            latencyMillis = speedNow.usualMillis.roundToLong(),
            slowdown = slowdown,
            tokenMillis = speedNow.tokenMillis,
        )
    }

    private companion object {
        /**
         * Inverse weight of a new latency in the moving average: a slow period has no effect after some ten responses.
         */
        private const val LATENCY_SMOOTHING = 4
    }
}
