package bergamotwall.standins

/**
 * Settings of the trainer stand-in.
 *
 * [entries] are the addresses from which it fetches the list of entries. [publishes] tells whether it publishes
 * weight versions of [model]; [bound] is its staleness bound in versions; [rewarded] whether samples are scored. Each
 * batch has [groups] groups; each of them starts [n] generations and is complete with [enough] samples. Training on a
 * batch takes [trainMillis].
 */
public data class TrainerOptions(
    val name: String,
    val key: String,
    val model: String,
    val entries: List<String>,
    val publishes: Boolean,
    val bound: Int,
    val rewarded: Boolean = false,
    val groups: Int = 4,
    val n: Int = 6,
    val enough: Int = 4,
    val maxTokens: Int = 300,
    val trainMillis: Long = 300,
    val runMillis: Long = 10_000,
    val seed: Long = 1,
)
