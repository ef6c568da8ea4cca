package bergamotwall.gateway.forwarding

import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange

/** Passes each part of [exchange] to [onPart] when it is taken. */
internal class ObservedExchange(
    private val exchange: TargetExchange,
    private val onPart: (ResponsePart) -> Unit,
) : TargetExchange {
    override suspend fun next(): ResponsePart? = exchange.next()?.also(onPart)

    override fun cancel(): Unit = exchange.cancel()
}
