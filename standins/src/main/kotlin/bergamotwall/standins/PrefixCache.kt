package bergamotwall.standins

import bergamotwall.decisions.prefixOf
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong

/** Cache of prompt prefixes in limited memory, with the events that tell what came in. */
internal class PrefixCache {
    private val held = ConcurrentLinkedQueue<Long>()
    private val news = ConcurrentLinkedQueue<Long>()
    private val told = AtomicLong()

    /** Number of events told so far. */
    val sequence: Long get() = told.get()

    /** Whether the prefix of [prompt] is held; it is from now on. */
    fun hit(prompt: String): Boolean {
        val prefix = prefixOf(prompt)
        val hit = prefix in held
        if (!hit) {
            held.add(prefix)
            news.add(prefix)
            if (held.size > CAPACITY) held.poll()
        }
        return hit
    }

    /** Prefixes that came in since the last call. */
    fun events(): List<Long> = generateSequence { news.poll() }.toList().also { told.addAndGet(it.size.toLong()) }

    private companion object {
        private const val CAPACITY = 64
    }
}
