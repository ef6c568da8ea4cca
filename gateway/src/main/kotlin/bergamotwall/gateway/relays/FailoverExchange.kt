package bergamotwall.gateway.relays

import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange

/**
 * An exchange that begins [direct], unless that is null, and is relayed if no connection can be established. It goes on
 * to the next peer while the one before is known not to have passed the request on. Once the response has begun, the
 * request has run, however the exchange ends.
 */
internal class FailoverExchange(
    direct: TargetExchange?,
    private val relays: RelayedTargetClient.RelayAttempts,
) : TargetExchange {
    private var isDirect = direct != null
    private var begun = false

    @Volatile
    private var cancelled = false

    @Volatile
    private var current: TargetExchange = direct ?: relays.next() ?: Unreachable()

    override suspend fun next(): ResponsePart? {
        var part = current.next()
        while (part is ResponsePart.Broken && mayTryNext(part)) {
            if (isDirect) relays.directFailed(part.reason)
            isDirect = false
            current = relays.next() ?: return part
            if (cancelled) current.cancel()
            part = current.next()
        }
        if (part is ResponsePart.Broken && begun) part = part.copy(mayHaveRun = true, unreachable = false)
        begun = begun || part is ResponsePart.Head
        return part
    }

    override fun cancel() {
        cancelled = true
        current.cancel()
    }

    private fun mayTryNext(failure: ResponsePart.Broken): Boolean =
        !cancelled && !begun && current !is Unreachable && if (isDirect) failure.unreachable else !failure.mayHaveRun

    /** Ends at once, for want of a path. */
    private class Unreachable : TargetExchange {
        private var ended = false

        override suspend fun next(): ResponsePart? =
            if (ended) {
                null
            } else {
                ended = true
                ResponsePart.Broken("no peer has a path to the target", mayHaveRun = false, unreachable = true)
            }

        override fun cancel() = Unit
    }
}
