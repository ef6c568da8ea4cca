package bergamotwall.gateway.store

import bergamotwall.runtime.Clock
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.read
import java.util.concurrent.atomic.AtomicReference

/**
 * Tells an outage of the key-value service, in which registrations of processes that live may expire, from a call that
 * fails: there is no outage while other calls of this process are answered, on whatever path. One that is shorter than
 * [shortestMillis] lets nothing expire. Thread-safe.
 */
public class StoreOutages(private val clock: Clock, private val shortestMillis: Long) {
    private val lastResponse = AtomicReference<ClockReading?>()
    private val lastEnd = AtomicReference<ClockReading?>()

    /** When the last outage ended, on the monotonic clock; null if there was none. */
    public val endedAtMillis: Long? get() = lastEnd.get()?.monotonicMillis

    /** Records that the service has responded to a call, whatever the response is. */
    public fun responded(): Unit = respondedAt(clock.read())

    /** Records that the service had responded at [moment], to this process or to one that watches it for others. */
    internal fun respondedAt(moment: ClockReading) {
        val before = lastResponse.getAndUpdate { if (it == null || it.isBefore(moment)) moment else it }
        if (before != null && before.isBefore(moment) && before.millisUntil(moment) >= shortestMillis) {
            lastEnd.set(moment)
        }
    }

    private fun ClockReading.isBefore(other: ClockReading) = monotonicMillis < other.monotonicMillis
}
