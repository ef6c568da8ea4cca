package bergamotwall.standins

/** Settings of the engine stand-in. */
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
