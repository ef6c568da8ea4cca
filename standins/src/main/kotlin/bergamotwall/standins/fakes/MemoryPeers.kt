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

/** Peers in memory: messages go straight to the handler at an address, unless the test cut it off. */
public class MemoryPeers : PeerClient {
    private val handlers = ConcurrentHashMap<String, PeerHandler>()
    private val cut = ConcurrentHashMap.newKeySet<String>()
    private val silent = ConcurrentHashMap.newKeySet<String>()

    override val bytesSent: Long = 0

    /** Puts [handler] at [address]. */
    public fun connect(
        address: String,
        handler: PeerHandler,
    ) {
        handlers[address] = handler
    }

    /** Cuts [address] off, or lets it be reached again. */
    public fun cut(
        address: String,
        off: Boolean = true,
    ) {
        if (off) cut += address else cut -= address
    }

    /** The process at [address] takes messages and never answers. */
    public fun silence(address: String) {
        silent += address
    }

    override suspend fun ask(
        address: String,
        message: PeerMessage,
        timeoutMillis: Long,
        trace: String?,
    ): Result<PeerMessage, PeerError> {
        val handler = handlers[address]?.takeIf { address !in cut }
        return when {
            address in silent -> {
                delay(timeoutMillis)
                Err(PeerError.NoAnswer(address))
            }
            handler == null -> Err(PeerError.Unreachable(address))
            else -> Ok(handler.answer(message, trace))
        }
    }

    override fun close() {
        handlers.clear()
    }
}
