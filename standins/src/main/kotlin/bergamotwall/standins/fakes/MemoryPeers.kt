package bergamotwall.standins.fakes

import bergamotwall.model.PeerMessage
import bergamotwall.peers.PeerClient
import bergamotwall.peers.PeerError
import bergamotwall.peers.PeerHandler
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap

/** In-memory network of peers: messages go straight to the handler at an address, unless a test made it unreachable. */
public class MemoryPeers : PeerClient {
    private val handlers = ConcurrentHashMap<String, PeerHandler>()
    private val unreachable = ConcurrentHashMap.newKeySet<String>()
    private val silent = ConcurrentHashMap.newKeySet<String>()

    override val bytesSent: Long = 0

    /** Delivers messages for [address] to [handler]. */
    public fun connect(
        address: String,
        handler: PeerHandler,
    ) {
        handlers[address] = handler
    }

    /** Makes [address] unreachable, or reachable again. */
    public fun isolate(
        address: String,
        isolated: Boolean = true,
    ) {
        if (isolated) unreachable += address else unreachable -= address
    }

    /** Lets the process at [address] accept messages without ever responding. */
    public fun silence(address: String) {
        silent += address
    }

    override suspend fun sendRequest(
        address: String,
        message: PeerMessage,
        timeoutMillis: Long,
        trace: String?,
    ): Result<PeerMessage, PeerError> {
        val handler = handlers[address]?.takeIf { address !in unreachable }
        return when {
            address in silent -> {
                delay(timeoutMillis)
                Err(PeerError.NoResponse(address))
            }
            handler == null -> Err(PeerError.Unreachable(address))
            else -> Ok(handler.handle(message, trace))
        }
    }

    override fun close() {
        handlers.clear()
    }
}
