package bergamotwall.gateway.concurrent

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Results of calls that run at the same time. A result stays available until [next] returns it: unlike an element of a
 * channel, it can't be lost if it arrives just as a receiver times out. Not thread-safe.
 */
internal class PendingResults<T : Any> {
    private val pending = ArrayList<Deferred<T>>()

    /** Number of calls whose results [next] has not returned. */
    val count: Int get() = pending.size

    /** Starts [call] in [scope]. */
    fun start(
        scope: CoroutineScope,
        call: suspend () -> T,
    ) {
        pending += scope.async { call() }
    }

    /**
     * Waits for the next result; returns null if there is none within [timeoutMillis]. At least one call must be in
     * flight. Without [timeoutMillis], the wait is as long as the time limits of the calls.
     */
    suspend fun next(timeoutMillis: Long = Long.MAX_VALUE): T? {
        check(pending.isNotEmpty()) { "no call is in flight" }
        val done =
            withTimeoutOrNull(timeoutMillis) {
                select { pending.forEach { call -> call.onAwait { call } } }
            }
        pending.remove(done)
        return done?.await()
    }
}
