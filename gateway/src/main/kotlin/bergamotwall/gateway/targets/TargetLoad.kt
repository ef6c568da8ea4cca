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

    @Volatile
    private var reportedOnce = false
    private val failures = AtomicInteger()
    private val backoffUntilMillis = AtomicLong()
    private val probing = AtomicBoolean()
    private val unreadableLoad = AtomicBoolean()

    /** The target's limit on requests of all processes. */
    public val limit: TargetLimit = TargetLimit()

    /** How long requests take at the target. */
    public val latency: TargetLatency = TargetLatency()

    /** Requests of this process in flight at the target. */
    public val ownRequests: Int get() = outstanding.get()

    /** When the target last reported its load, on the monotonic clock; null if it never did. */
    internal val reportedAtMillis: Long? get() = if (reportedOnce) otherRequestsAtMillis.get() else null

    /** Consecutive failures. */
    internal val failureCount: Int get() = failures.get()

    /** When the backoff ends, on the monotonic clock. */
    internal val backoffEndsAtMillis: Long get() = backoffUntilMillis.get()

    /** Whether the target gets one request at a time. */
    internal val isProbing: Boolean get() = probing.get()

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
        reportedOnce = true
        latency.reported(load.slowdownPercent, nowMillis)
    }

    /** Whether this is the first load report of the target that can't be read. */
    public fun firstUnreadableLoad(): Boolean = unreadableLoad.compareAndSet(false, true)

    /** Records the head of a response that shows the target to be healthy; ends backoff and probing. */
    public fun responding() {
        probing.set(false)
        failures.set(0)
        backoffUntilMillis.set(0)
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
        val candidate =
            CandidateTarget(
                id = target.id,
                slots = if (probing.get()) minOf(target.slots, running + 1) else target.slots,
                running = running,
                local = local,
                available = nowMillis >= backoffUntilMillis.get(),
            )
        return latency.applyTo(candidate, nowMillis)
    }

    private companion object {
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
