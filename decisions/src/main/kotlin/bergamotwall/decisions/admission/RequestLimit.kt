package bergamotwall.decisions.admission

import kotlin.math.ceil

/**
 * A target's limit of [perSecond] requests a second, and how much of its share a process has left: [tokens] at
 * [tokensAtMillis], a token bucket. [namedAtMillis] is when the target last named the limit. Immutable.
 */
public data class RequestLimit(
    val perSecond: Double,
    val namedAtMillis: Long,
    val tokens: Double = 0.0,
    val tokensAtMillis: Long = namedAtMillis,
) {
    /** Number of requests that may be sent at [nowMillis]. */
    public fun admitted(
        share: RateShare,
        nowMillis: Long,
    ): Int = tokensAt(share, nowMillis).toInt()

    /** Time from [nowMillis] until a request may be sent; [Long.MAX_VALUE] if the process has no part of the limit. */
    public fun waitMillis(
        share: RateShare,
        nowMillis: Long,
    ): Long {
        if (share.perSecond <= 0) return Long.MAX_VALUE
        val missing = (1 - tokensAt(share, nowMillis)).coerceAtLeast(0.0)
        return ceil(missing / share.perSecond * MILLIS_PER_SECOND).toLong()
    }

    /** After a request was sent at [nowMillis]. */
    public fun sent(
        share: RateShare,
        nowMillis: Long,
    ): RequestLimit =
        copy(tokens = (tokensAt(share, nowMillis) - 1).coerceAtLeast(0.0), tokensAtMillis = nowMillis)

    /** After the target has named a limit of [newPerSecond] at [nowMillis]. */
    public fun named(
        newPerSecond: Double,
        nowMillis: Long,
    ): RequestLimit = copy(perSecond = newPerSecond, namedAtMillis = nowMillis)

    private fun tokensAt(
        share: RateShare,
        nowMillis: Long,
    ): Double =
        minOf(share.burst, tokens + (nowMillis - tokensAtMillis) / MILLIS_PER_SECOND * share.perSecond)

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
