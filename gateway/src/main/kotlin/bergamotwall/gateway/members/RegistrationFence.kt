package bergamotwall.gateway.members

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry

/**
 * The registration of this process as a fence of its writes. A write that makes the process the owner of something is
 * made on [condition]: it can't take effect once the registration has ended, and so every owner that is lost was a
 * member, whose loss the other processes notice.
 */
public interface RegistrationFence {
    /** Holds as long as this process is registered as ready; null if it is not known to be. */
    public val condition: Condition.Unchanged?

    /**
     * Notifies that the service declined a write on [condition]; [read] are the current entries of the keys on which
     * the write was conditional.
     */
    public fun declined(
        condition: Condition.Unchanged,
        read: List<KeyValueEntry>,
    )
}
