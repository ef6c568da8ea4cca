package bergamotwall.gateway.forwarding

import kotlinx.serialization.Serializable

/** Bounds of the forwarding of requests. */
@Serializable
public data class ForwardLimits(
    /** Larger answers are not held whole; the largest body that operators allow callers to send. */
    val maxAnswerBytes: Int = 33_554_432,
    /** Part of the target latency after which a second target is asked, in percent: leaves it time to answer. */
    val hedgePercent: Int = 50,
    /** Pause before a refused request is tried at the next target: one round trip between data centres. */
    val refusedPauseMillis: Long = 5,
    /** Refusals by full targets are over after about the length of a request. */
    val retryAfterMillis: Long = 250,
)
