package bergamotwall.peers

import bergamotwall.model.NetworkAddress
import bergamotwall.model.PeerMessage
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource

/** Peer client over Ktor sockets. */
public fun PeerClient(): PeerClient = KtorPeerClient()

internal class KtorPeerClient : PeerClient {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val connections = ConcurrentHashMap<String, Deferred<Connection>>()
    private val sentBytes = AtomicLong()

    override val bytesSent: Long get() = sentBytes.get()

    override suspend fun sendRequest(
        address: String,
        message: PeerMessage,
        timeoutMillis: Long,
        trace: String?,
    ): Result<PeerMessage, PeerError> {
        val started = TimeSource.Monotonic.markNow()
        val connection =
            connect(address, timeoutMillis) ?: return Err(PeerError.Unreachable("no connection to $address"))
        val framesBefore = connection.framesRead
        val remainingMillis = timeoutMillis - started.elapsedNow().inWholeMilliseconds
        val response = withTimeoutOrNull(remainingMillis) { connection.exchange(message, trace) }
        // A connection can stop delivering without a reset. Closing it makes the next call open a new one. A call that
        // spent its time on connecting has not waited long enough to tell.
        val waitedLong = remainingMillis > timeoutMillis / 2
        if (response == null && waitedLong && connection.framesRead == framesBefore) connection.close()
        return if (response == null) Err(PeerError.NoResponse("no response from $address")) else Ok(response)
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }

    private suspend fun connect(
        address: String,
        timeoutMillis: Long,
    ): Connection? {
        val pending = connections.computeIfAbsent(address) { scope.async { open(address) } }
        return try {
            val connection = withTimeoutOrNull(timeoutMillis) { pending.await() }
            if (connection == null || connection.closed) connections.remove(address, pending)
            // Timed out: cancel the attempt, so that it leaves no open connection that is not in the map.
            if (connection == null) pending.cancel()
            if (connection?.closed == true) connect(address, timeoutMillis) else connection
        } catch (e: CancellationException) {
            // Either this caller was cancelled, or another caller timed out and cancelled the shared attempt.
            currentCoroutineContext().ensureActive()
            Logger.debug("connection attempt to {} cancelled: {}", address, e.message)
            null
        } catch (
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            Logger.debug("connection attempt to {} failed: {}", address, e.message)
            connections.remove(address, pending)
            null
        }
    }

    private suspend fun open(address: String): Connection {
        val remote = NetworkAddress.of(address)
        val socket = aSocket(selector).tcp().connect(InetSocketAddress(remote.host, remote.port)) { noDelay = true }
        return Connection(socket, scope, sentBytes) { connections.remove(address) }
    }
}

/** One connection: a writer coroutine, a reader coroutine, and the requests in flight. */
private class Connection(
    private val socket: Socket,
    scope: CoroutineScope,
    private val sentBytes: AtomicLong,
    private val onClosed: () -> Unit,
) {
    private val outgoing = Channel<ByteArray>(OUTGOING_FRAMES)
    private val inFlight = ConcurrentHashMap<Long, CompletableDeferred<PeerMessage?>>()
    private val ids = AtomicLong()

    @Volatile
    var closed = false
        private set

    /** Frames received so far. */
    @Volatile
    var framesRead = 0L
        private set

    init {
        scope.launch { runUntilClosed { write() } }
        scope.launch { runUntilClosed { read() } }
    }

    /** Sends [message] and waits for its response; null if the connection closes before. */
    suspend fun exchange(
        message: PeerMessage,
        trace: String?,
    ): PeerMessage? {
        val id = ids.incrementAndGet()
        val response = CompletableDeferred<PeerMessage?>()
        inFlight[id] = response
        try {
            val queued = !closed && enqueue(encodeFrame(Envelope(id, false, trace, message)))
            return if (queued) response.await() else null
        } finally {
            inFlight.remove(id)
        }
    }

    private suspend fun enqueue(frame: ByteArray): Boolean =
        try {
            outgoing.send(frame)
            true
        } catch (e: ClosedSendChannelException) {
            Logger.debug("connection to a peer closed: {}", e.message)
            false
        }

    private suspend fun write() {
        val channel = socket.openWriteChannel()
        for (frame in outgoing) {
            channel.writeFrame(frame)
            sentBytes.addAndGet((frame.size + LENGTH_BYTES).toLong())
        }
    }

    private suspend fun read() {
        val channel = socket.openReadChannel()
        while (true) {
            val envelope = decodeFrame(channel.readFrame()).envelope
            framesRead++
            inFlight[envelope.id]?.complete(envelope.body)
        }
    }

    private suspend fun runUntilClosed(block: suspend () -> Unit) {
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (
            @Suppress("TooGenericExceptionCaught", "SwallowedException") e: Exception,
        ) {
            // The connection failed: close() completes all requests in flight without a response.
        } finally {
            close()
        }
    }

    fun close() {
        closed = true
        onClosed()
        outgoing.close()
        socket.close()
        inFlight.values.forEach { it.complete(null) }
    }

    private companion object {
        private const val OUTGOING_FRAMES = 1_024
    }
}
