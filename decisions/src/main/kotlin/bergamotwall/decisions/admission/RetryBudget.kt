package bergamotwall.decisions.admission

/**
 * Token bucket that limits retries to a share of first attempts, so that an outage does not cause a retry storm.
 *
 * Each first attempt adds [ratio] of a retry, up to [burst] retries. Immutable: callers replace it by compare-and-set.
 */
public data class RetryBudget(val ratio: Double, val burst: Double, val tokens: Double = burst) {
    /** The budget after a first attempt. */
    public fun attempted(): RetryBudget = copy(tokens = minOf(burst, tokens + ratio))

    /** The budget after one retry, or null if none is left. */
    public fun taken(): RetryBudget? = if (tokens < 1.0) null else copy(tokens = tokens - 1.0)
}
