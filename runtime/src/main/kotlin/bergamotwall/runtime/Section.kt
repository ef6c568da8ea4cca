package bergamotwall.runtime

import java.util.concurrent.atomic.AtomicReference

/**
 * One section of the blackboard: an immutable snapshot that readers take without waiting (read-copy-update).
 *
 * Writers of one section race by compare-and-set; [update] may run its function more than once.
 */
public class Section<T : Any>(initial: T) {
    private val snapshot = AtomicReference(initial)

    /** The current snapshot. */
    public fun read(): T = snapshot.get()

    /** Replaces the snapshot by [next] of it and returns the new one. */
    public fun update(next: (T) -> T): T = snapshot.updateAndGet(next)
}
