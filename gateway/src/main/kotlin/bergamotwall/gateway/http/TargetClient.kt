package bergamotwall.gateway.http

/** HTTP/1.1 client to targets. Connections are kept and serve one request at a time. */
public interface TargetClient : AutoCloseable {
    /** Sends [request] to [address], `host:port`. */
    public fun send(
        address: String,
        request: TargetRequest,
    ): TargetExchange

    /** Connections opened so far. */
    public val connectionsOpened: Long
}
