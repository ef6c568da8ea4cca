package bergamotwall.standins

/** Leases of the key-value stand-in. Not thread-safe. */
internal class LeaseTable(private val nowMillis: () -> Long) {
    private class Lease(val ttlMillis: Long, var expiresAtMillis: Long)

    private val leases = HashMap<Long, Lease>()
    private var next = 1L

    fun grant(ttlSeconds: Long): Long {
        val id = next++
        leases[id] = Lease(ttlSeconds * MILLIS, nowMillis() + ttlSeconds * MILLIS)
        return id
    }

    fun keepAlive(lease: Long): Long {
        val held = leases[lease] ?: return 0
        held.expiresAtMillis = nowMillis() + held.ttlMillis
        return held.ttlMillis / MILLIS
    }

    fun revoke(lease: Long): Boolean = leases.remove(lease) != null

    fun expired(): List<Long> = leases.filterValues { it.expiresAtMillis <= nowMillis() }.keys.toList()

    private companion object {
        private const val MILLIS = 1_000L
    }
}
