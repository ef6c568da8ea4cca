package bergamotwall.gateway.forwarding

import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange

/** An [exchange] whose first [parts] have been taken already; they are returned again. */
internal class BegunExchange(
    parts: List<ResponsePart>,
    private val exchange: TargetExchange,
) : TargetExchange {
    private val first = ArrayDeque(parts)

    override suspend fun next(): ResponsePart? = first.removeFirstOrNull() ?: exchange.next()

    override fun cancel(): Unit = exchange.cancel()
}
