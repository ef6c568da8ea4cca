package bergamotwall.standins

import bergamotwall.decisions.prefixOf
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong

/** Cache of the last prompt prefixes, with events for those that were added. */
internal class PrefixCache {
    private val cached = ConcurrentLinkedQueue<Long>()
    private val unreported = ConcurrentLinkedQueue<Long>()
    private val reported = AtomicLong()

    /** Number of events reported so far. */
    val sequence: Long get() = reported.get()

    /** Whether the prefix of [prompt] is cached; adds it otherwise. */
    fun hit(prompt: String): Boolean {
        val prefix = prefixOf(prompt)
        val hit = prefix in cached
        if (!hit) {
            cached.add(prefix)
            unreported.add(prefix)
            if (cached.size > CAPACITY) cached.poll()
        }
        return hit
    }

    /** Prefixes that were added since the last call. */
    fun takeEvents(): List<Long> =
        generateSequence { unreported.poll() }.toList().also { reported.addAndGet(it.size.toLong()) }

    private companion object {
        private const val CAPACITY = 64
    }
}
