package bergamotwall.gateway.http

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * A server that sends exactly the bytes given: [responses] by the number of the request, over all connections. A
 * request that is not the first one on its connection is answered with [leftover] before that.
 */
internal class RepeatingTarget(
    private val responses: List<String>,
    private val leftover: String,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val received = AtomicInteger()

    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    sockets += socket
                    thread(isDaemon = true) { serve(socket) }
                }
            } catch (e: SocketException) {
                check(server.isClosed) { "accept: ${e.message}" }
            }
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        try {
            var first = true
            while (readRequest(socket.getInputStream())) {
                val response = responses[received.getAndIncrement()]
                socket.getOutputStream().write(((if (first) "" else leftover) + response).toByteArray())
                first = false
            }
        } catch (e: SocketException) {
            // The client has closed the connection, or the test is over.
            check(e.message != null)
        }
    }

    /** Reads a request; returns false at the end of the connection. */
    private fun readRequest(input: InputStream): Boolean {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return false
            head.append(byte.toChar())
        }
        input.readNBytes(LENGTH.find(head)?.groupValues?.get(1)?.toInt() ?: 0)
        return true
    }

    private companion object {
        private const val BACKLOG = 16
        private val LENGTH = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE)
    }
}
