package bergamotwall.drivers.http

import java.util.concurrent.atomic.AtomicLong

/** What one response holds of [buffer]. Thread-safe. */
public class BufferShare(private val buffer: SharedBuffer) {
    /** [RELEASED] once released. */
    private val held = AtomicLong()

    /** Bytes that the response holds. */
    public val heldBytes: Long get() = held.get().coerceAtLeast(0)

    /** Whether the response may hold more. */
    public val mayGrow: Boolean get() = buffer.mayGrow(heldBytes)

    /** Records that the response holds [bytes] more, or fewer if negative. Without effect once it is released. */
    public fun add(bytes: Int) {
        val before = held.getAndUpdate { if (it == RELEASED) RELEASED else it + bytes }
        if (before != RELEASED) buffer.add(bytes.toLong())
    }

    /** Records that the response holds nothing any more. */
    public fun release() {
        val left = held.getAndSet(RELEASED)
        if (left != RELEASED) buffer.add(-left)
    }

    private companion object {
        private const val RELEASED = Long.MIN_VALUE
    }
}
