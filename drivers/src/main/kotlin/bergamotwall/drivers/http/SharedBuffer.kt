package bergamotwall.drivers.http

import java.util.concurrent.atomic.AtomicLong

/**
 * Counts the bytes that all responses in progress hold in memory, so that targets that send without end can't exhaust
 * it. Each response may hold as much as is free: one alone up to half of [limitBytes], many only a small share each,
 * and what is left over stays available to responses that are just beginning (A. K. Choudhury and E. L. Hahne,
 * "Dynamic queue length thresholds for shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2), 1998).
 * What they hold is part of [account], which requests share. Thread-safe.
 */
public class SharedBuffer(
    private val limitBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_PARTS,
    private val account: MemoryAccount = MemoryAccount(),
) {
    private val held = AtomicLong()

    /** Bytes held by all responses. */
    public val heldBytes: Long get() = held.get()

    internal fun add(bytes: Long) {
        held.addAndGet(bytes)
        account.add(bytes)
    }

    /** Whether a response that holds [ownBytes] may hold more. */
    internal fun mayGrow(ownBytes: Long): Boolean = ownBytes <= minOf(limitBytes - held.get(), account.freeBytes)

    private companion object {
        /** Several copies of a response exist while it is passed on. */
        private const val HEAP_PARTS = 6
    }
}
