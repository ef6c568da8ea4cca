package bergamotwall.runtime

import java.util.concurrent.atomic.AtomicLong

/** Admits at most [perSecond] log lines per second and counts those it drops. Thread-safe and non-blocking. */
internal class LogRateLimiter(private val perSecond: Int) {
    private val second = AtomicLong(Long.MIN_VALUE)
    private val used = AtomicLong()
    private val dropped = AtomicLong()

    /** Whether one more line may be written at [nowMillis]. */
    fun tryAcquire(nowMillis: Long): Boolean {
        val current = nowMillis / MILLIS_PER_SECOND
        if (second.getAndSet(current) != current) used.set(0)
        val allowed = used.incrementAndGet() <= perSecond
        if (!allowed) dropped.incrementAndGet()
        return allowed
    }

    /** Number of lines dropped since the last call. */
    fun takeDropped(): Long = dropped.getAndSet(0)

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
