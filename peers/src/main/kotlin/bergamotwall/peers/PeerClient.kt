package bergamotwall.peers

import bergamotwall.model.PeerMessage
import com.github.michaelbull.result.Result

/** Sends requests to other processes over one connection per peer, which all callers share; reconnects if it fails. */
public interface PeerClient : AutoCloseable {
    /**
     * Sends [message] to the process at [address], `host:port`, and waits for the response. Connecting and waiting take
     * up to [timeoutMillis] together.
     */
    public suspend fun sendRequest(
        address: String,
        message: PeerMessage,
        timeoutMillis: Long,
        trace: String? = null,
    ): Result<PeerMessage, PeerError>

    /** Bytes of requests written to peers so far; responses to their requests are not included. */
    public val bytesSent: Long
}
