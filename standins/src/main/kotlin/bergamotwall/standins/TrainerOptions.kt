package bergamotwall.standins

/** Settings of the trainer stand-in. */
public data class TrainerOptions(
    val name: String,
    val key: String,
    val model: String,
    val entries: List<String>,
    val publishes: Boolean,
    val bound: Int,
    val groups: Int = 4,
    val n: Int = 6,
    val enough: Int = 4,
    val maxTokens: Int = 300,
    val trainMillis: Long = 300,
    val runMillis: Long = 10_000,
    val seed: Long = 1,
)
