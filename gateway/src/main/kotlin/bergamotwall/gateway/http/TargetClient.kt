package bergamotwall.gateway.http

/** HTTP/1.1 client for targets. Connections are pooled and carry one request at a time. */
public interface TargetClient : AutoCloseable {
    /** Starts to send [request] to [address] (`host:port`). */
    public fun send(
        address: String,
        request: TargetRequest,
    ): TargetExchange

    /**
     * Opens a connection to [address] and keeps it for a later request. Gives up after [timeoutMillis].
     */
    public suspend fun connect(
        address: String,
        timeoutMillis: Int,
    ): ConnectOutcome

    /** Closes the connections to [address] that exist now, as soon as they are idle. */
    public fun retire(address: String)

    /** Number of connections opened so far. */
    public val connectionsOpened: Long

    /** Number of responses so far that may have belonged to another request, for the reason [doubt]. */
    public fun responsesInDoubt(doubt: ResponseDoubt): Long = 0
}
