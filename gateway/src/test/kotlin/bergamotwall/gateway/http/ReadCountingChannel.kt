package bergamotwall.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.socket.nio.NioSocketChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

/** Channel of the client that tells the target of a test which bytes it has read. */
internal class ReadCountingChannel : NioSocketChannel() {
    override fun doReadBytes(bytes: ByteBuf): Int =
        super.doReadBytes(bytes).also { if (it > 0) unnoticed(localAddress().port, remoteAddress().port).release(it) }

    companion object {
        private const val READ_WITHIN_SECONDS = 10L

        /** Bytes that were read and not awaited yet, by the ports of the client and the target. */
        private val unnoticed = ConcurrentHashMap<Pair<Int, Int>, Semaphore>()

        /** Waits until the client has read [count] more bytes on the connection between the two ports. */
        fun awaitRead(
            clientPort: Int,
            targetPort: Int,
            count: Int,
        ) {
            val read = unnoticed(clientPort, targetPort).tryAcquire(count, READ_WITHIN_SECONDS, TimeUnit.SECONDS)
            check(read) { "the client read too little" }
        }

        private fun unnoticed(
            clientPort: Int,
            targetPort: Int,
        ): Semaphore = unnoticed.computeIfAbsent(clientPort to targetPort) { Semaphore(0) }
    }
}
