package bergamotwall.gateway.targets

import bergamotwall.decisions.placement.CandidateTarget
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Load and health of one target as observed by this process through its own requests. Thread-safe. */
public class TargetLoad {
    private val outstanding = AtomicInteger()
    private val otherRequests = AtomicInteger()
    private val otherRequestsAtMillis = AtomicLong()
    private val failures = AtomicInteger()
    private val backoffUntilMillis = AtomicLong()
    private val latencyMillis = AtomicLong()
    private val probing = AtomicBoolean()

    /** The target's limit on requests of all processes. */
    public val limit: TargetLimit = TargetLimit()

    /** Requests of this process in flight at the target. */
    public val ownRequests: Int get() = outstanding.get()

    /** Records a request sent at [nowMillis]. A target that refused the previous one receives one request at a time. */
    public fun sent(nowMillis: Long) {
        outstanding.incrementAndGet()
        if (probing.get()) backOffUntil(nowMillis + PROBE_MILLIS)
    }

    /** Records the end of a request, whatever its outcome. */
    public fun ended() {
        outstanding.decrementAndGet()
    }

    /**
     * Records [load] as reported by the target at [nowMillis]; what exceeds our own requests belongs to other
     * processes.
     */
    public fun reported(
        load: ReportedLoad,
        nowMillis: Long,
    ) {
        otherRequests.set((load.running + load.waiting - outstanding.get()).coerceAtLeast(0))
        otherRequestsAtMillis.set(nowMillis)
    }

    /** Records the head of a response that shows the target to be healthy; ends backoff and probing. */
    public fun responding() {
        probing.set(false)
        failures.set(0)
        backoffUntilMillis.set(0)
    }

    /** Records a complete response, received [millis] after the request was sent. */
    public fun succeeded(millis: Long) {
        latencyMillis.updateAndGet { old -> if (old == 0L) millis else old + (millis - old) / LATENCY_SMOOTHING }
    }

    /** Records at [nowMillis] that the target is full or loading weights; a single request probes it again shortly. */
    public fun refused(nowMillis: Long) {
        probing.set(true)
        backOffUntil(nowMillis + PROBE_MILLIS)
    }

    /**
     * Records at [nowMillis] that the target did not run a request, either because it is [full] or because it failed.
     */
    public fun notRun(
        nowMillis: Long,
        full: Boolean,
    ): Unit = if (full) refused(nowMillis) else failed(nowMillis)

    /**
     * Records a failure at [nowMillis]. The target receives no new requests during a backoff that doubles with each
     * consecutive failure. Requests that fail during the backoff were sent before it, so they don't extend it.
     */
    public fun failed(nowMillis: Long) {
        if (failures.get() > 0 && nowMillis < backoffUntilMillis.get()) return
        val backoffMillis =
            minOf(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS shl minOf(failures.getAndIncrement(), MAX_SHIFT))
        backOffUntil(nowMillis + backoffMillis)
    }

    private fun backOffUntil(untilMillis: Long) {
        backoffUntilMillis.accumulateAndGet(untilMillis, ::maxOf)
    }

    /** Input for the placement policy: the state of [target] at [nowMillis]. */
    public fun candidate(
        target: Target,
        local: Boolean,
        nowMillis: Long,
    ): CandidateTarget {
        val otherRequestsNow =
            if (nowMillis - otherRequestsAtMillis.get() < OTHER_REQUESTS_VALID_MILLIS) otherRequests.get() else 0
        val running = outstanding.get() + otherRequestsNow
        return CandidateTarget(
            id = target.id,
            slots = if (probing.get()) minOf(target.slots, running + 1) else target.slots,
            running = running,
            local = local,
            available = nowMillis >= backoffUntilMillis.get(),
            latencyMillis = latencyMillis.get(),
        )
    }

    private companion object {
        /**
         * Inverse weight of a new latency in the moving average: a slow period has no effect after some ten responses.
         */
        private const val LATENCY_SMOOTHING = 4

        /**
         * Loading weights takes about a second and freeing a slot less, so at most a sixth of that time is lost before
         * the next probe.
         */
        private const val PROBE_MILLIS = 150L

        /** Short, so that a single lost response costs a target no more than a few requests. */
        private const val FIRST_BACKOFF_MILLIS = 200L

        /** A crashed target restarts within some seconds; one attempt per this period is cheap. */
        private const val MAX_BACKOFF_MILLIS = 3_000L
        private const val MAX_SHIFT = 5

        /** A report of other processes' requests expires after about the duration of a generation. */
        private const val OTHER_REQUESTS_VALID_MILLIS = 1_000L
    }
}
