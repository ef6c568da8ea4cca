package bergamotwall.gateway.targets

import bergamotwall.decisions.CandidateTarget
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** What this process knows of one target's load and health from its own traffic. Safe for many threads. */
public class TargetLoad {
    private val outstanding = AtomicInteger()
    private val foreign = AtomicInteger()
    private val foreignAtMillis = AtomicLong()
    private val failures = AtomicInteger()
    private val closedUntilMillis = AtomicLong()
    private val latencyMillis = AtomicLong()
    private val probing = AtomicBoolean()

    /** Requests that this process has at the target. */
    public val ownRequests: Int get() = outstanding.get()

    /** Counts a request that is sent at [nowMillis]. A target that refused the last one gets one at a time. */
    public fun sent(nowMillis: Long) {
        outstanding.incrementAndGet()
        if (probing.get()) closeUntil(nowMillis + PROBE_MILLIS)
    }

    /** Counts a request that ended. */
    public fun ended() {
        outstanding.decrementAndGet()
    }

    /** Takes in [load] as stated at [nowMillis]; what is not ours is of other processes. */
    public fun reported(
        load: ReportedLoad,
        nowMillis: Long,
    ) {
        foreign.set((load.running + load.waiting - outstanding.get()).coerceAtLeast(0))
        foreignAtMillis.set(nowMillis)
    }

    /** Records the beginning of a sound answer. */
    public fun answering() {
        probing.set(false)
        failures.set(0)
        closedUntilMillis.set(0)
    }

    /** Records a whole answer after [millis]. */
    public fun succeeded(millis: Long) {
        latencyMillis.updateAndGet { old -> if (old == 0L) millis else old + (millis - old) / SMOOTHING }
    }

    /** Records at [nowMillis] that the target is full, or loads weights: it is asked again soon, by one request. */
    public fun refused(nowMillis: Long) {
        probing.set(true)
        closeUntil(nowMillis + PROBE_MILLIS)
    }

    /** Records at [nowMillis] that the target did not run a request, because it is [full] or because it failed. */
    public fun notRun(
        nowMillis: Long,
        full: Boolean,
    ): Unit = if (full) refused(nowMillis) else failed(nowMillis)

    /**
     * Records a failure at [nowMillis]: the target gets no new work for a time that doubles with each one in a row.
     * Requests that fail while it is closed were sent before, and tell nothing new.
     */
    public fun failed(nowMillis: Long) {
        if (failures.get() > 0 && nowMillis < closedUntilMillis.get()) return
        val backoffMillis =
            minOf(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS shl minOf(failures.getAndIncrement(), MAX_SHIFT))
        closeUntil(nowMillis + backoffMillis)
    }

    private fun closeUntil(untilMillis: Long) {
        closedUntilMillis.accumulateAndGet(untilMillis, ::maxOf)
    }

    /** The target as the placement policy sees it at [nowMillis]. */
    public fun candidate(
        target: Target,
        local: Boolean,
        nowMillis: Long,
    ): CandidateTarget {
        val foreignNow = if (nowMillis - foreignAtMillis.get() < FOREIGN_VALID_MILLIS) foreign.get() else 0
        val running = outstanding.get() + foreignNow
        return CandidateTarget(
            id = target.id,
            slots = if (probing.get()) minOf(target.slots, running + 1) else target.slots,
            running = running,
            local = local,
            open = nowMillis >= closedUntilMillis.get(),
            latencyMillis = latencyMillis.get(),
        )
    }

    private companion object {
        /** Weight of a new latency, one part in this many: forgets a slow spell after some ten answers. */
        private const val SMOOTHING = 4

        /** Weights load in about a second, and a slot comes free in less: a sixth of that is lost at most. */
        private const val PROBE_MILLIS = 150L

        /** A single lost answer should cost a target no more than a few requests. */
        private const val FIRST_BACKOFF_MILLIS = 200L

        /** A crashed target is back after some seconds; asking it once in this time is cheap. */
        private const val MAX_BACKOFF_MILLIS = 3_000L
        private const val MAX_SHIFT = 5

        /** Load of other processes is taken for gone after about the length of a generation. */
        private const val FOREIGN_VALID_MILLIS = 1_000L
    }
}
