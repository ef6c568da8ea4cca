package bergamotwall.gateway.weights

import kotlinx.serialization.Serializable

/** Bounds of the roll-out of weight versions. */
@Serializable
public data class WeightSettings(
    /** Time to live of the duty's lease: how long a lost holder goes unnoticed. */
    val leaseTtlSeconds: Long = 2,
    /** Pause between the orders of two holders: a platform setting, the time in which engines take them for rivals. */
    val pauseMillis: Long = 3_000,
    /** Engines that load at once; the weight store slows down when more do. */
    val maxLoads: Int = 2,
    /** An order is answered at once or not at all. */
    val orderTimeoutMillis: Long = 1_000,
    /** An engine that does not state the version by then is asked what it runs; a load takes about a second. */
    val loadMillis: Long = 3_000,
    /** How often the duty looks for work. */
    val periodMillis: Long = 200,
)
