package bergamotwall.standins

/** Leases of the key-value stand-in. Not thread-safe. */
internal class LeaseTable(private val nowMillis: () -> Long) {
    private class Lease(val ttlMillis: Long, var expiresAtMillis: Long)

    private val leases = HashMap<Long, Lease>()
    private var nextId = 1L

    fun grant(ttlSeconds: Long): Long {
        val id = nextId++
        leases[id] = Lease(ttlSeconds * MILLIS_PER_SECOND, nowMillis() + ttlSeconds * MILLIS_PER_SECOND)
        return id
    }

    /** Renews [lease] and returns its time to live in seconds, or 0 if there is no such lease. */
    fun keepAlive(lease: Long): Long {
        val renewed = leases[lease] ?: return 0
        renewed.expiresAtMillis = nowMillis() + renewed.ttlMillis
        return renewed.ttlMillis / MILLIS_PER_SECOND
    }

    operator fun contains(lease: Long): Boolean = lease in leases

    fun revoke(lease: Long): Boolean = leases.remove(lease) != null

    fun expired(): List<Long> = leases.filterValues { it.expiresAtMillis <= nowMillis() }.keys.toList()

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
