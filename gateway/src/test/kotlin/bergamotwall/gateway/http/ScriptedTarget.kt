package bergamotwall.gateway.http

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * A server that responds to each request with the next of [responses], exactly the bytes given. After the first
 * response it closes the connection if [close], or resets it if [reset].
 */
internal class ScriptedTarget(
    private val responses: List<String>,
    private val reset: Boolean = false,
    private val close: Boolean = false,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val accepted = AtomicInteger()
    private val open = AtomicInteger()
    private val next = AtomicInteger()
    private val bodyRead = CountDownLatch(1)

    val port: Int get() = server.localPort

    val connections: Int get() = accepted.get()

    /** Connections that neither side has closed. */
    val openConnections: Int get() = open.get()

    init {
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    accepted.incrementAndGet()
                    thread(isDaemon = true) { serve(socket) }
                }
            } catch (e: SocketException) {
                check(server.isClosed) { "accept: ${e.message}" }
            }
        }
    }

    /** Signals that the client has read some of the body. */
    fun onBodyRead() {
        bodyRead.countDown()
    }

    override fun close() {
        server.close()
    }

    private fun serve(socket: Socket) {
        open.incrementAndGet()
        socket.use {
            try {
                while (readRequest(socket.getInputStream())) respond(socket)
            } catch (e: SocketException) {
                // The client closed the connection first, which some cases expect.
                check(e.message != null)
            } finally {
                open.decrementAndGet()
            }
        }
    }

    private fun respond(socket: Socket) {
        val index = next.getAndIncrement()
        socket.getOutputStream().write(responses.getOrElse(index) { "" }.toByteArray())
        socket.getOutputStream().flush()
        if (index > 0) return
        if (reset) {
            // Wait until the client has read the bytes: a reset discards bytes that it has not read yet.
            check(bodyRead.await(READ_WITHIN_SECONDS, TimeUnit.SECONDS)) { "the client read nothing" }
            socket.setSoLinger(true, 0)
        }
        if (reset || close) socket.close()
    }

    /** Reads a request with a body of one byte; returns false at the end of the connection. */
    private fun readRequest(input: InputStream): Boolean {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return false
            head.append(byte.toChar())
        }
        return input.read() >= 0
    }

    private companion object {
        private const val BACKLOG = 16
        private const val READ_WITHIN_SECONDS = 10L
    }
}
