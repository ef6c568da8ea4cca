package bergamotwall.standins

/**
 * Settings of the engine stand-in.
 *
 * [tokenMillis] is the time of one token on an otherwise idle engine, [prefillMillis] the time before the first.
 * Lengths of generations are log-normal by [medianTokens] and [tailSigma]. [swapFailPercent] is the share of weight
 * swaps that leave the old version in place. With [checksFencing] the engine refuses orders with an old fencing token.
 * Without a [weightStoreAddress] weights load at once. A prompt with [crashWord] in it crashes the engine.
 */
public data class EngineOptions(
    val id: String,
    val address: String,
    val model: String,
    val slots: Int = 8,
    val tokenMillis: Double = 4.0,
    val prefillMillis: Double = 20.0,
    val medianTokens: Int = 40,
    val tailSigma: Double = 0.8,
    val swapMillis: Long = 300,
    val swapFailPercent: Int = 0,
    val checksFencing: Boolean = false,
    val reportLagMillis: Long = 300,
    val weightStoreAddress: String? = null,
    val seed: Long = 1,
    val crashWord: String = "poison",
)
