package bergamotwall.drivers.http

import java.util.concurrent.atomic.AtomicLong

/** Counts the bytes that requests and responses of a process hold together: [limitBytes] at most. Thread-safe. */
public class MemoryAccount(public val limitBytes: Long = Long.MAX_VALUE) {
    private val held = AtomicLong()

    /** Bytes held by all. */
    public val heldBytes: Long get() = held.get()

    /** Bytes that may still be held. */
    public val freeBytes: Long get() = limitBytes - held.get()

    /** Adds [bytes], or fewer if negative, whether or not they are within the limit. */
    public fun add(bytes: Long) {
        held.addAndGet(bytes)
    }

    /** Adds [bytes] if [admits] is true for what is held so far. Returns whether it was. */
    public fun addIf(
        bytes: Long,
        admits: (Long) -> Boolean,
    ): Boolean {
        while (true) {
            val before = held.get()
            if (!admits(before)) return false
            if (held.compareAndSet(before, before + bytes)) return true
        }
    }
}
