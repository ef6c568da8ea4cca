package bergamotwall.peers

import bergamotwall.model.NetworkAddress
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Semaphore
import kotlinx.serialization.SerializationException
import org.tinylog.Logger
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

/** Accepts connections of other processes and serves their requests. */
public interface PeerServer : AutoCloseable {
    /** Port on which the server listens. */
    public val port: Int

    /** Bytes of responses written so far. */
    public val bytesSent: Long
}

/** Listens on [address], `host:port` (port 0 for any free port), and passes every request to [handler]. */
public fun PeerServer(
    address: String,
    handler: PeerHandler,
): PeerServer = KtorPeerServer(address, handler)

internal class KtorPeerServer(address: String, private val handler: PeerHandler) : PeerServer {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val server =
        runBlocking {
            val local = NetworkAddress.ofServer(address)
            aSocket(selector).tcp().bind(InetSocketAddress(local.host, local.port)) { reuseAddress = true }
        }

    private val sentBytes = AtomicLong()

    override val bytesSent: Long get() = sentBytes.get()

    override val port: Int get() = (server.localAddress as InetSocketAddress).port

    init {
        scope.launch {
            while (true) {
                val socket = acceptOrNull()
                if (socket == null) delay(ACCEPT_RETRY_MILLIS) else scope.launch { serveUntilClosed(socket) }
            }
        }
    }

    override fun close() {
        scope.cancel()
        server.close()
        selector.close()
    }

    /** The next connection, or null if accepting it failed, for example because no descriptor is free. */
    private suspend fun acceptOrNull(): Socket? =
        try {
            server.accept()
        } catch (e: IOException) {
            Logger.warn("connection of a peer not accepted: {}", e.message)
            null
        }

    private suspend fun serveUntilClosed(socket: Socket) {
        try {
            serve(socket)
        } catch (e: CancellationException) {
            throw e
        } catch (e: SerializationException) {
            Logger.warn("malformed frame on a peer connection, connection closed: {}", e.message)
        } catch (
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            Logger.debug("connection of a peer ended: {}", e.message)
        } finally {
            socket.close()
        }
    }

    private suspend fun serve(socket: Socket) =
        coroutineScope {
            val outgoing = Channel<ByteArray>(OUTGOING_FRAMES)
            val inFlightLimit = Semaphore(MAX_IN_FLIGHT)
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel()
            val writer = launch { for (frame in outgoing) write(output, frame) }
            try {
                while (true) {
                    val frame = decodeFrame(input.readFrame())
                    val envelope = frame.envelope
                    inFlightLimit.acquire()
                    launch {
                        try {
                            val body = envelope.body
                            val response = if (frame.understood) handler.handle(body, envelope.trace) else body
                            outgoing.send(encodeFrame(Envelope(envelope.id, true, null, response)))
                        } finally {
                            inFlightLimit.release()
                        }
                    }
                }
            } finally {
                writer.cancel()
                this@coroutineScope.cancel()
            }
        }

    private suspend fun write(
        output: ByteWriteChannel,
        frame: ByteArray,
    ) {
        output.writeFrame(frame)
        sentBytes.addAndGet((frame.size + LENGTH_BYTES).toLong())
    }

    private companion object {
        private const val OUTGOING_FRAMES = 1_024

        /** Descriptors become free as other connections end. */
        private const val ACCEPT_RETRY_MILLIS = 100L
        private const val MAX_IN_FLIGHT = 4_096
    }
}
