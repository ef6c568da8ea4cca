package bergamotwall.decisions.membership

/**
 * Local view of the keys under one watched prefix of the key-value service. Not thread-safe.
 *
 * Leases can expire in an outage of the service although their holders are alive. Entries that are found deleted within
 * [graceMillis] after an outage are therefore kept until the end of that period, and then removed unless they were
 * written again. Outside of that period a deletion takes effect at once.
 */
public class WatchedKeys<V : Any>(private val graceMillis: Long) {
    private val entries = HashMap<String, V>()
    private val missing = HashSet<String>()
    private var graceEndsAtMillis = Long.MIN_VALUE

    /** The current entries, including those that are kept during the grace period. */
    public fun current(): Map<String, V> = HashMap(entries)

    /** Starts the grace period: the service responds again at [nowMillis] after an outage. */
    public fun recovered(nowMillis: Long) {
        graceEndsAtMillis = nowMillis + graceMillis
    }

    /** Applies a full [listing]; entries that it lacks were deleted. */
    public fun listed(
        listing: Map<String, V>,
        nowMillis: Long,
    ) {
        (entries.keys - listing.keys).forEach { deleted(it, nowMillis) }
        listing.forEach { (key, value) -> put(key, value) }
    }

    /** Applies a write of [key]. */
    public fun put(
        key: String,
        value: V,
    ) {
        entries[key] = value
        missing.remove(key)
    }

    /** Applies the deletion of [key]. */
    public fun deleted(
        key: String,
        nowMillis: Long,
    ) {
        if (nowMillis < graceEndsAtMillis) missing.add(key) else entries.remove(key)
    }

    /** After the grace period, removes entries that are still missing. Returns whether any was removed. */
    public fun expire(nowMillis: Long): Boolean {
        if (missing.isEmpty() || nowMillis < graceEndsAtMillis) return false
        missing.forEach { entries.remove(it) }
        missing.clear()
        return true
    }

    /** Time at which [expire] is due, or null if nothing is missing. */
    public fun expiryAtMillis(): Long? = graceEndsAtMillis.takeIf { missing.isNotEmpty() }
}
