package bergamotwall.gateway.http

/** A request to a target and its response. */
public interface TargetExchange {
    /**
     * Waits for the next part of the response; returns null after [ResponsePart.End] or [ResponsePart.Broken]. The
     * response is read from the target no faster than its parts are taken.
     */
    public suspend fun next(): ResponsePart?

    /**
     * Ends the exchange. Unless the response is complete, closes the connection, so that the target drops the request.
     */
    public fun cancel()
}
