package bergamotwall.gateway.weights

import kotlinx.serialization.Serializable

/** Settings of the rollout of weight versions. */
@Serializable
public data class WeightSettings(
    /** Time to live of the leader's lease: how long the loss of the leader can go unnoticed. */
    val leaseTtlSeconds: Long = 2,
    /**
     * Pause between the orders of two leaders, set by the platform: within it, engines treat the two as conflicting.
     */
    val pauseMillis: Long = 3_000,
    /** Timeout of an order. Engines respond to an order immediately or not at all. */
    val orderTimeoutMillis: Long = 1_000,
    /** An engine that has not registered the version by then is queried for its state. A load takes about a second. */
    val loadMillis: Long = 3_000,
    /** How long a process that gave up the leadership, because it reached no engine, does not acquire it again. */
    val abstainMillis: Long = 10_000,
    /** Interval at which the leader plans new orders. */
    val periodMillis: Long = 200,
)
