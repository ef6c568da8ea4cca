package bergamotwall.gateway.batches

import bergamotwall.decisions.admission.backoffMillis
import bergamotwall.runtime.Clock
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Paces retries of a call with backoff, up to [deadlineMillis] on the monotonic clock. */
internal class RetrySchedule(
    private val clock: Clock,
    private val random: Random,
    private val deadlineMillis: Long,
) {
    private var attemptsMade = 0

    /** Starts a new series of attempts under the same deadline. */
    fun reset() {
        attemptsMade = 0
    }

    /**
     * Waits for the backoff and returns true, or returns false at once if the backoff would end at the deadline or
     * later. The first attempt of a series is always allowed, without a wait.
     */
    suspend fun awaitNext(): Boolean {
        if (attemptsMade > 0) {
            val pauseMillis = backoffMillis(attemptsMade, random)
            if (clock.monotonicMillis() + pauseMillis >= deadlineMillis) return false
            delay(pauseMillis)
        }
        attemptsMade++
        return true
    }
}
