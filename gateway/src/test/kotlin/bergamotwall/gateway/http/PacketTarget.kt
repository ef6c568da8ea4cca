package bergamotwall.gateway.http

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * A server that responds to each request with what [respond] returns for its id. Each packet is sent once the client,
 * whose channels are of the type [ReadCountingChannel], has read the one before; after the last one the connection ends
 * as [Response.end] says.
 */
internal class PacketTarget(private val respond: (String) -> Response) : AutoCloseable {
    /** What happens to the connection after a response. */
    enum class End { KEEP, CLOSE, RESET }

    data class Response(val packets: List<String>, val end: End = End.KEEP)

    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** The connections, by their numbers, and the ids of the requests that they carried. */
    val carried = CopyOnWriteArrayList<Pair<Int, String>>()

    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    sockets += socket
                    val number = sockets.size
                    thread(isDaemon = true) { socket.use { serve(it, number) } }
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

    /** Sends [bytes] on the connection that was opened last, and waits until the client has read them. */
    fun sendUnasked(bytes: String): Unit = send(sockets.last(), bytes)

    private fun serve(
        socket: Socket,
        number: Int,
    ) {
        socket.tcpNoDelay = true
        try {
            var end = End.KEEP
            while (end == End.KEEP) {
                val id = readRequest(socket.getInputStream()) ?: return
                carried += number to id
                val response = respond(id)
                response.packets.forEach { send(socket, it) }
                end = response.end
            }
            if (end == End.RESET) socket.setSoLinger(true, 0)
        } catch (e: SocketException) {
            // The client has closed the connection, or the test is over.
            check(e.message != null)
        }
    }

    /** One packet at a time: a later one must not be taken for read when the client has read the one before. */
    private fun send(
        socket: Socket,
        packet: String,
    ): Unit =
        synchronized(socket) {
            socket.getOutputStream().write(packet.toByteArray())
            ReadCountingChannel.awaitRead(socket.port, socket.localPort, packet.length)
        }

    /** Reads a request with a body of one byte and returns its id, or null at the end of the connection. */
    private fun readRequest(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        input.read()
        return checkNotNull(ID.find(head)).groupValues[1]
    }

    private companion object {
        private const val BACKLOG = 50
        private val ID = Regex("\r\nid: (\\S+)", RegexOption.IGNORE_CASE)
    }
}
