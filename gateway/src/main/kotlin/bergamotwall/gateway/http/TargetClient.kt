package bergamotwall.gateway.http

/** HTTP/1.1 client for targets. Connections are pooled and carry one request at a time. */
public interface TargetClient : AutoCloseable {
    /** Starts to send [request] to [address] (`host:port`). */
    public fun send(
        address: String,
        request: TargetRequest,
    ): TargetExchange

    /** Number of connections opened so far. */
    public val connectionsOpened: Long
}
