package bergamotwall.peers

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

/** Client over Ktor sockets. */
public fun PeerClient(): PeerClient = KtorPeerClient()

internal class KtorPeerClient : PeerClient {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val connections = ConcurrentHashMap<String, Deferred<Connection>>()
    private val sent = AtomicLong()

    override val bytesSent: Long get() = sent.get()

    override suspend fun ask(
        address: String,
        message: PeerMessage,
        timeoutMillis: Long,
        trace: String?,
    ): Result<PeerMessage, PeerError> {
        val connection =
            connect(address, timeoutMillis) ?: return Err(PeerError.Unreachable("$address cannot be reached"))
        val framesBefore = connection.framesRead
        val answer = withTimeoutOrNull(timeoutMillis) { connection.ask(message, trace) }
        // A connection may fall silent without a reset; the next call makes a new one.
        if (answer == null && connection.framesRead == framesBefore) connection.close()
        return if (answer == null) Err(PeerError.NoAnswer("$address did not answer")) else Ok(answer)
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
            // A connection that nobody waits for any more must not stay open once it is made.
            if (connection == null) pending.cancel()
            if (connection?.closed == true) connect(address, timeoutMillis) else connection
        } catch (e: CancellationException) {
            // The caller gave up, or another one that waited longest ended the attempt for all.
            currentCoroutineContext().ensureActive()
            Logger.debug("connection to {} given up: {}", address, e.message)
            null
        } catch (
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            Logger.debug("no connection to {}: {}", address, e.message)
            connections.remove(address, pending)
            null
        }
    }

    private suspend fun open(address: String): Connection {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        val socket = aSocket(selector).tcp().connect(InetSocketAddress(host, port)) { noDelay = true }
        return Connection(socket, scope, sent) { connections.remove(address) }
    }
}

/** One connection: a writer coroutine, a reader coroutine, and the requests that wait for their answer. */
private class Connection(
    private val socket: Socket,
    scope: CoroutineScope,
    private val sent: AtomicLong,
    private val onClosed: () -> Unit,
) {
    private val outgoing = Channel<ByteArray>(OUTGOING_FRAMES)
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<PeerMessage?>>()
    private val ids = AtomicLong()

    @Volatile
    var closed = false
        private set

    /** Frames received so far. */
    @Volatile
    var framesRead = 0L
        private set

    init {
        scope.launch { guarded { write() } }
        scope.launch { guarded { read() } }
    }

    suspend fun ask(
        message: PeerMessage,
        trace: String?,
    ): PeerMessage? {
        val id = ids.incrementAndGet()
        val answer = CompletableDeferred<PeerMessage?>()
        waiting[id] = answer
        try {
            val sent = !closed && send(encodeFrame(Envelope(id, false, trace, message)))
            return if (sent) answer.await() else null
        } finally {
            waiting.remove(id)
        }
    }

    private suspend fun send(frame: ByteArray): Boolean =
        try {
            outgoing.send(frame)
            true
        } catch (e: ClosedSendChannelException) {
            Logger.debug("peer connection closed: {}", e.message)
            false
        }

    private suspend fun write() {
        val channel = socket.openWriteChannel()
        for (frame in outgoing) {
            channel.writeFrame(frame)
            sent.addAndGet((frame.size + LENGTH_BYTES).toLong())
        }
    }

    private suspend fun read() {
        val channel = socket.openReadChannel()
        while (true) {
            val envelope = decodeFrame(channel.readFrame())
            framesRead++
            waiting[envelope.id]?.complete(envelope.body)
        }
    }

    private suspend fun guarded(block: suspend () -> Unit) {
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (
            @Suppress("TooGenericExceptionCaught", "SwallowedException") e: Exception,
        ) {
            // The peer went away: everyone who waits learns it below.
        } finally {
            close()
        }
    }

    fun close() {
        closed = true
        onClosed()
        outgoing.close()
        socket.close()
        waiting.values.forEach { it.complete(null) }
    }

    private companion object {
        private const val OUTGOING_FRAMES = 1_024
    }
}
