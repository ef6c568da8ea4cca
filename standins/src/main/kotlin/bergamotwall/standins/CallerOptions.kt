package bergamotwall.standins

/**
 * Settings of the caller stand-in.
 *
 * [entries] are the addresses from which it fetches the list of entries. Each of [workers] makes one call at a time,
 * with pauses of [pauseMillis] on average, for [runMillis].
 */
public data class CallerOptions(
    val name: String,
    val key: String,
    val model: String,
    val service: String,
    val entries: List<String>,
    val workers: Int = 3,
    val pauseMillis: Long = 40,
    val runMillis: Long = 10_000,
    val seed: Long = 1,
)
