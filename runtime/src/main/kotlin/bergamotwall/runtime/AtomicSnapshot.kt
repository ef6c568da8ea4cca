package bergamotwall.runtime

import java.util.concurrent.atomic.AtomicReference

/**
 * Holder of an immutable snapshot, which readers get without blocking (read-copy-update).
 *
 * Concurrent writers are resolved by compare-and-set, so [update] may run its function more than once.
 */
public class AtomicSnapshot<T : Any>(initial: T) {
    private val snapshot = AtomicReference(initial)

    /** The current snapshot. */
    public fun read(): T = snapshot.get()

    /** Replaces the snapshot by the result of [next] and returns the new snapshot. */
    public fun update(next: (T) -> T): T = snapshot.updateAndGet(next)
}
