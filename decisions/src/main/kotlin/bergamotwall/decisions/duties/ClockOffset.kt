package bergamotwall.decisions.duties

/**
 * Difference between the monotonic clocks of a receiver and a sender, from the times at which messages were sent and
 * received. Not thread-safe.
 *
 * Failures: a message that is delayed by a slow link, or by a paused process on either side, shows a larger difference
 * than there is. The smallest one of the last two periods of [periodMillis] counts, so that one delayed message does
 * not move the starts that it carries. Two periods bound the error by the drift between the clocks.
 */
public class ClockOffset(private val periodMillis: Long = PERIOD_MILLIS) {
    private var beganAtMillis = Long.MIN_VALUE
    private var current = Long.MAX_VALUE
    private var previous = Long.MAX_VALUE

    /** What to add to the sender's clock to get the receiver's; requires an observation. */
    public val millis: Long get() = minOf(current, previous)

    /** Takes into account a message that was sent and received at these times of the clocks of the two sides. */
    public fun observe(
        sentAtMillis: Long,
        receivedAtMillis: Long,
    ) {
        if (beganAtMillis == Long.MIN_VALUE) beganAtMillis = receivedAtMillis
        if (receivedAtMillis - beganAtMillis >= periodMillis) {
            previous = current
            current = Long.MAX_VALUE
            beganAtMillis = receivedAtMillis
        }
        current = minOf(current, receivedAtMillis - sentAtMillis)
    }

    private companion object {
        /** Clocks that are kept in step by NTP differ in rate by at most 0.5 ms in a second. */
        private const val PERIOD_MILLIS = 30_000L
    }
}
