package bergamotwall.decisions

/** Bounds of a [Dispatcher]. */
public data class DispatchLimits(
    val maxQueued: Int = 4_096,
    val permitGraceMillis: Long = 10_000,
    val scanDepth: Int = 8,
    val circuitFirstMillis: Long = 250,
    val circuitMaxMillis: Long = 8_000,
    val slowFactor: Double = 2.0,
)
