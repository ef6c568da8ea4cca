package bergamotwall.decisions

/**
 * Keys under one prefix of the key-value service as a follower sees them. Not thread-safe.
 *
 * Answers the pattern of an outage in which leases lapse although their holders live: what goes missing within
 * [graceMillis] after an outage is kept until that time is over, and dropped if it is not back by then. Outside of it a
 * deletion counts at once.
 */
public class FollowedKeys<V : Any>(private val graceMillis: Long) {
    private val entries = HashMap<String, V>()
    private val missing = HashSet<String>()
    private var graceEndsAtMillis = Long.MIN_VALUE

    /** Entries that count now. */
    public fun current(): Map<String, V> = HashMap(entries)

    /** The service answers again at [nowMillis], after an outage. */
    public fun recovered(nowMillis: Long) {
        graceEndsAtMillis = nowMillis + graceMillis
    }

    /** Takes in a full [listing]. */
    public fun listed(
        listing: Map<String, V>,
        nowMillis: Long,
    ) {
        (entries.keys - listing.keys).forEach { deleted(it, nowMillis) }
        listing.forEach { (key, value) -> put(key, value) }
    }

    /** Takes in a write of [key]. */
    public fun put(
        key: String,
        value: V,
    ) {
        entries[key] = value
        missing.remove(key)
    }

    /** Takes in the deletion of [key]. */
    public fun deleted(
        key: String,
        nowMillis: Long,
    ) {
        if (nowMillis < graceEndsAtMillis) missing.add(key) else entries.remove(key)
    }

    /** Drops what is still missing when the grace is over; returns whether anything was dropped. */
    public fun expire(nowMillis: Long): Boolean {
        if (missing.isEmpty() || nowMillis < graceEndsAtMillis) return false
        missing.forEach { entries.remove(it) }
        missing.clear()
        return true
    }

    /** When [expire] is due, or null. */
    public fun expiryAtMillis(): Long? = graceEndsAtMillis.takeIf { missing.isNotEmpty() }
}
