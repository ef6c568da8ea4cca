package bergamotwall.gateway.batches

import bergamotwall.decisions.backoffMillis
import bergamotwall.runtime.Clock
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Attempts until [deadlineMillis] of the monotonic clock, with backoff between them. */
internal class Attempts(
    private val clock: Clock,
    private val random: Random,
    private val deadlineMillis: Long,
) {
    private var made = 0

    /** Starts a new series; the deadline stays. */
    fun start() {
        made = 0
    }

    /** Waits as the backoff says and returns true if another attempt may be made; the first one always may. */
    suspend fun next(): Boolean {
        if (made > 0) {
            val pauseMillis = backoffMillis(made, random)
            if (clock.monotonicMillis() + pauseMillis >= deadlineMillis) return false
            delay(pauseMillis)
        }
        made++
        return true
    }
}
