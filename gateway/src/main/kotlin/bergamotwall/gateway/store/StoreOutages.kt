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
    public fun responded() {
        val now = clock.read()
        val before = lastResponse.getAndSet(now)
        if (before != null && before.millisUntil(now) >= shortestMillis) lastEnd.set(now)
    }
}
