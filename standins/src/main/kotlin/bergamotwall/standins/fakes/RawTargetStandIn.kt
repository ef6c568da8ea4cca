package bergamotwall.standins.fakes

import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Target that sends exactly the bytes, one for each character, that [respond] returns for the head of a request. It
 * then closes the connection, unless [leftoverOf] is given: what that returns for a response is sent on the same
 * connection before the next one.
 */
public class RawTargetStandIn(
    private val leftoverOf: ((String) -> String)? = null,
    private val respond: (String) -> String,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** Heads of the requests received. */
    public val heads: MutableList<String> = CopyOnWriteArrayList<String>()

    /** Where it accepts connections, `host:port`. */
    public val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) { acceptUntilClosed() }
    }

    override fun close(): Unit = server.close()

    private fun acceptUntilClosed() {
        try {
            while (true) {
                val socket = server.accept()
                thread(isDaemon = true) { socket.use { serve(it) } }
            }
        } catch (@Suppress("SwallowedException") e: IOException) {
            // The test has closed the server.
        }
    }

    private fun serve(socket: Socket) {
        try {
            var leftover: String? = ""
            while (leftover != null) {
                val head = readHead(socket.getInputStream())
                if (head.isEmpty()) return
                socket.getInputStream().readNBytes(LENGTH.find(head)?.groupValues?.get(1)?.toInt() ?: 0)
                heads += head
                val response = respond(head)
                socket.getOutputStream().write((leftover + response).toByteArray(Charsets.ISO_8859_1))
                leftover = leftoverOf?.invoke(response)
            }
        } catch (@Suppress("SwallowedException") e: IOException) {
            // The caller has closed the connection.
        }
    }

    private fun readHead(input: InputStream): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return ""
            head.append(byte.toChar())
        }
        return head.toString()
    }

    private companion object {
        private const val BACKLOG = 50
        private val LENGTH = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE)
    }
}
