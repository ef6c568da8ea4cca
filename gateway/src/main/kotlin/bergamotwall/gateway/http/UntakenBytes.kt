package bergamotwall.gateway.http

import java.util.concurrent.atomic.AtomicLong

/** Number of bytes of a response that were received and not yet taken. Thread-safe. */
internal class UntakenBytes(private val limit: Long) {
    private val count = AtomicLong()

    /** Whether more may be received. */
    val withinLimit: Boolean get() = count.get() <= limit

    fun received(bytes: Int) {
        count.addAndGet(bytes.toLong())
    }

    /** Records that [bytes] were taken. Returns whether the number was above the limit before and no longer is. */
    fun taken(bytes: Int): Boolean {
        // One atomic step: bytes received meanwhile must not hide from both threads that the limit was crossed.
        val left = count.addAndGet(-bytes.toLong())
        return left <= limit && left + bytes > limit
    }
}
