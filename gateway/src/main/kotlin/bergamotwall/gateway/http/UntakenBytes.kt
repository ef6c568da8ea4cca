package bergamotwall.gateway.http

import bergamotwall.drivers.http.BufferShare
import bergamotwall.drivers.http.SharedBuffer
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Number of bytes of a response that were received and not yet taken: at most about [limit], and less if the responses
 * in [shared] hold much together. Thread-safe.
 */
internal class UntakenBytes(private val limit: Long, shared: SharedBuffer) {
    private val share = BufferShare(shared)
    private val paused = AtomicBoolean()

    /**
     * Whether more may be received. If not, [taken] tells when: the last bytes to be taken end each pause, so a
     * response of which nothing waits to be taken is always read.
     */
    val withinLimit: Boolean
        get() {
            if (mayGrow()) return true
            paused.set(true)
            // Bytes may have been taken since, by a thread that has not seen the pause.
            return mayGrow() && paused.compareAndSet(true, false)
        }

    fun received(bytes: Int): Unit = share.add(bytes)

    /** Records that [bytes] were taken. Returns whether a pause has ended by that. */
    fun taken(bytes: Int): Boolean {
        share.add(-bytes)
        return paused.get() && mayGrow() && paused.compareAndSet(true, false)
    }

    /** Records that the rest will not be taken. */
    fun release(): Unit = share.release()

    private fun mayGrow(): Boolean = share.heldBytes.let { it <= 0 || it <= limit && share.mayGrow }
}
