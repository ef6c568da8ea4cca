package bergamotwall.gateway.http

import kotlinx.coroutines.channels.ReceiveChannel

/** A request to a target and its response. */
public interface TargetExchange {
    /** The parts of the response. The channel is closed after [ResponsePart.End] or [ResponsePart.Broken]. */
    public val parts: ReceiveChannel<ResponsePart>

    /**
     * Ends the exchange. Unless the response is complete, closes the connection, so that the target drops the request.
     */
    public fun cancel()
}
