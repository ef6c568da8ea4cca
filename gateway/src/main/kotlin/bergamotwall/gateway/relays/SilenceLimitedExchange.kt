package bergamotwall.gateway.relays

import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange
import kotlinx.coroutines.withTimeoutOrNull

/**
 * An [exchange] that breaks if nothing arrives for [maxSilenceMillis]. The sender of a relayed request gives up no
 * later than that, but can't end the request if it has lost power.
 */
internal class SilenceLimitedExchange(
    private val exchange: TargetExchange,
    private val maxSilenceMillis: Long,
) : TargetExchange by exchange {
    override suspend fun next(): ResponsePart? {
        // The end of the response is null, too.
        val part = withTimeoutOrNull(maxSilenceMillis) { Received(exchange.next()) }
        return if (part == null) silent() else part.part
    }

    private fun silent(): ResponsePart {
        exchange.cancel()
        return ResponsePart.Broken("no response for $maxSilenceMillis ms", mayHaveRun = true)
    }

    private class Received(val part: ResponsePart?)
}
