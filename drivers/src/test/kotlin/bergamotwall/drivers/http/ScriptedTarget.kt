package bergamotwall.drivers.http

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * A server of HTTP/1.1 that sends exactly the bytes that [script] returns for a request, by its number over all
 * connections and its number on its own one, from 0; then it ends the connection if [ending] says so.
 */
internal class ScriptedTarget(
    private val ending: Ending = Ending.NONE,
    private val script: (number: Int, numberOnConnection: Int) -> String,
) : AutoCloseable {
    enum class Ending { NONE, CLOSE, RESET }

    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val received = AtomicInteger()
    private val accepted = AtomicInteger()
    private val closed = AtomicInteger()

    val address: String get() = "127.0.0.1:${server.localPort}"

    /** Number of connections that carried a request. */
    val connections: Int get() = accepted.get()

    /** Number of connections that the caller has closed. */
    val closedByCaller: Int get() = closed.get()

    init {
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    thread(isDaemon = true) { serve(socket) }
                }
            } catch (e: SocketException) {
                check(server.isClosed) { "accept: ${e.message}" }
            }
        }
    }

    override fun close(): Unit = server.close()

    private fun serve(socket: Socket) {
        socket.use {
            try {
                respond(socket)
            } catch (e: SocketException) {
                check(e.message != null)
            }
        }
    }

    private fun respond(socket: Socket) {
        var number = 0
        while (readRequest(socket.getInputStream())) {
            if (number == 0) accepted.incrementAndGet()
            socket.getOutputStream().write(script(received.getAndIncrement(), number++).toByteArray())
            if (ending == Ending.RESET) socket.setSoLinger(true, 0)
            if (ending != Ending.NONE) return
        }
        if (number > 0) closed.incrementAndGet()
    }

    /** Reads a request; returns false at the end of the connection, and for a connection of HTTP/2. */
    private fun readRequest(input: InputStream): Boolean {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return false
            head.append(byte.toChar())
        }
        input.readNBytes(LENGTH.find(head)?.groupValues?.get(1)?.toInt() ?: 0)
        return !head.startsWith("PRI ")
    }

    private companion object {
        private const val BACKLOG = 16
        private val LENGTH = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE)
    }
}
