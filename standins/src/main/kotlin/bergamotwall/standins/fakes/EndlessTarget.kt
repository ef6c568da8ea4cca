package bergamotwall.standins.fakes

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Target that answers each connection with [head], then with [filler] as fast as the caller reads, until it closes.
 * Pauses for [pauseMillis] after each few kilobytes.
 */
public class EndlessTarget(
    private val head: String,
    private val filler: String,
    private val pauseMillis: Long = 0,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** Connections that the caller has closed. */
    public val closedByCaller: AtomicInteger = AtomicInteger()

    /** Bytes of all responses so far. */
    public val bytesSent: AtomicLong = AtomicLong()

    private val repeated = filler.repeat(WRITE_BYTES / filler.length).toByteArray()

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
                thread(isDaemon = true) { flood(socket) }
            }
        } catch (@Suppress("SwallowedException") e: IOException) {
            // The test has closed the server.
        }
    }

    private fun flood(socket: Socket) {
        socket.getInputStream().read(ByteArray(REQUEST_BYTES))
        val output = socket.getOutputStream()
        try {
            output.write(head.toByteArray())
            while (true) {
                output.write(repeated)
                if (pauseMillis > 0) Thread.sleep(pauseMillis)
                bytesSent.addAndGet(repeated.size.toLong())
            }
        } catch (@Suppress("SwallowedException") e: IOException) {
            closedByCaller.incrementAndGet()
        }
    }

    private companion object {
        private const val BACKLOG = 50
        private const val REQUEST_BYTES = 65_536
        private const val WRITE_BYTES = 4_096
    }
}
