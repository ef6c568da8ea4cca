package bergamotwall.decisions.responses

import bergamotwall.decisions.hashOf
import java.util.concurrent.ConcurrentHashMap

/**
 * The requests sent on one connection, by the ids that their responses echo; null for a request without one. A server
 * may repeat a response at any later time, so only what was sent on the connection tells which response belongs to
 * which request: at most [maxRequests] requests, each with an id of its own, and one without an id only as the first.
 * Ids are compared by their hashes; equal ones cost another connection. Thread-safe, with one writer.
 */
public class SentRequests(private val maxRequests: Int) {
    private val hashes: MutableSet<Long> = ConcurrentHashMap.newKeySet()

    /** Number of requests sent. */
    @Volatile
    public var count: Int = 0
        private set

    /** Whether the connection has carried all the requests that it may. */
    public val exhausted: Boolean get() = count >= maxRequests

    /** Whether the response to a request with [id] could be told from those to the requests before. */
    public fun mayAdd(id: String?): Boolean = if (id == null) count == 0 else !exhausted && hashOf(id) !in hashes

    /** Whether a request with [id] was sent. */
    public fun contains(id: String): Boolean = hashOf(id) in hashes

    /** Records that a request with [id] is sent. */
    public fun add(id: String?) {
        if (id != null) hashes += hashOf(id)
        count++
    }

    /** Owner of a response that echoes the ids [echoed], while the last request, with [id], waits for its response. */
    public fun ownerOf(
        id: String?,
        echoed: List<String>,
    ): ResponseOwner =
        when {
            echoed.isEmpty() -> if (count <= 1) ResponseOwner.CURRENT else ResponseOwner.UNKNOWN
            // The heads of two responses may have been joined, also of two responses to one request.
            echoed.size > 1 -> ResponseOwner.UNKNOWN
            else -> if (echoed.single() == id) ResponseOwner.CURRENT else ResponseOwner.OTHER
        }
}
