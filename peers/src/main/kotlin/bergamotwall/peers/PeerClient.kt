package bergamotwall.peers

import bergamotwall.model.PeerMessage
import com.github.michaelbull.result.Result

/** Asks other processes. One connection per peer, shared by all callers; a broken one is made anew. */
public interface PeerClient : AutoCloseable {
    /** Sends [message] to the process at [address], `host:port`, and waits up to [timeoutMillis] for its answer. */
    public suspend fun ask(
        address: String,
        message: PeerMessage,
        timeoutMillis: Long,
        trace: String? = null,
    ): Result<PeerMessage, PeerError>

    /** Bytes written to peers so far, this process's answers not counted. */
    public val bytesSent: Long
}
