package bergamotwall.decisions.placement

/**
 * Limits of a [Dispatcher].
 *
 * A permit whose outcome never arrives is released [permitGraceMillis] after the request's deadline. [scanDepth] is the
 * number of requests of a flow that are considered in one pass. A target that fails gets no requests until its next
 * report or for [initialBackoffMillis], doubled at each further failure up to [maxBackoffMillis]. A target counts as
 * slow when its first-token latency exceeds [slowFactor] times the lowest one observed by more than a fixed slack.
 */
public data class DispatchLimits(
    val maxQueued: Int = 4_096,
    val permitGraceMillis: Long = 10_000,
    val scanDepth: Int = 8,
    val initialBackoffMillis: Long = 250,
    val maxBackoffMillis: Long = 8_000,
    val slowFactor: Double = 2.0,
)
