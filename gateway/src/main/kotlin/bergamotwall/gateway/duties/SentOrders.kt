package bergamotwall.gateway.duties

import bergamotwall.runtime.Clock

/** When this process sent orders, and whether they were answered. Not thread-safe. */
internal class SentOrders(private val clock: Clock) {
    private var underWay = 0
    private var sentAtMillis = NEVER
    private var unansweredAtMillis = NEVER

    /** Sends an order by [call]; [answered] tells from its outcome whether there was a response. */
    suspend fun <T> send(
        answered: (T) -> Boolean,
        call: suspend () -> T,
    ): T {
        underWay++
        sentAtMillis = clock.monotonicMillis()
        try {
            val outcome = call()
            if (!answered(outcome)) unansweredAtMillis = clock.monotonicMillis()
            return outcome
        } finally {
            underWay--
        }
    }

    /** Whether none is under way and the last one was sent at least [pauseMillis] ago. */
    fun settled(pauseMillis: Long): Boolean = underWay == 0 && isOlder(sentAtMillis, pauseMillis)

    /** Whether all orders of the last [millis] were answered. */
    fun allAnswered(millis: Long): Boolean = isOlder(unansweredAtMillis, millis)

    private fun isOlder(
        atMillis: Long,
        millis: Long,
    ): Boolean = atMillis == NEVER || clock.monotonicMillis() - atMillis >= millis

    private companion object {
        private const val NEVER = Long.MIN_VALUE
    }
}
