package bergamotwall.gateway.relays

import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange

/**
 * An exchange over the path of this process to [address]. A [repeatable] one fails once the path is lost; others may
 * still get their response when it is back.
 */
internal class DirectExchange(
    val address: String,
    private val exchange: TargetExchange,
    private val paths: TargetPaths,
    private val checks: PathChecks,
    private val repeatable: Boolean,
) : TargetExchange {
    /** Since when the next part of the response has been waited for, on the monotonic clock. */
    @Volatile
    var owedSinceMillis = 0L
        private set

    @Volatile
    private var pathLost = false

    override suspend fun next(): ResponsePart? {
        owedSinceMillis = checks.waits(this)
        val part =
            try {
                exchange.next()
            } finally {
                checks.ended(this)
            }
        if (part !is ResponsePart.Broken) paths.received(address)
        return if (part is ResponsePart.Broken && pathLost) part.copy(reason = "path to $address lost") else part
    }

    override fun cancel(): Unit = exchange.cancel()

    /** Ends the exchange, if it is repeatable, because nothing arrives from its address any more. */
    fun pathLost() {
        if (!repeatable) return
        pathLost = true
        exchange.cancel()
    }
}
