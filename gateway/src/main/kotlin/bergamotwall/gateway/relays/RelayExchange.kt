package bergamotwall.gateway.relays

import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.valueOf

/**
 * An [exchange] with a peer that relays it; ends like the exchange of the peer with the target. [onResponse] is called
 * when the target has responded.
 */
internal class RelayExchange(
    private val exchange: TargetExchange,
    private val onResponse: () -> Unit,
) : TargetExchange {
    override suspend fun next(): ResponsePart? =
        when (val part = exchange.next()) {
            is ResponsePart.Head -> outcomeOf(part) ?: part.also { onResponse() }
            // That the peer ends the connection says nothing of the target.
            is ResponsePart.Broken -> part.copy(reason = "relay: ${part.reason}", disconnected = false)
            else -> part
        }

    override fun cancel(): Unit = exchange.cancel()

    private fun outcomeOf(head: ResponsePart.Head): ResponsePart.Broken? {
        val outcome = head.headers.valueOf(RelayHeaders.OUTCOME) ?: return null
        exchange.cancel()
        return ResponsePart.Broken(
            reason = "relayed: $outcome",
            mayHaveRun = outcome != RelayHeaders.NOT_RUN,
            disconnected = outcome == RelayHeaders.DISCONNECTED,
        )
    }
}
