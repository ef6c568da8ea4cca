package bergamotwall.gateway.http

import bergamotwall.drivers.http.SharedBuffer
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicReference

/** State of one exchange. The connection is set by [bind] once it is established. */
internal class NettyExchange(val request: TargetRequest, shared: SharedBuffer) : TargetExchange {
    private val queue = Channel<ResponsePart>(Channel.UNLIMITED)
    private val connection = AtomicReference<TargetConnection?>()

    @Volatile
    var cancelled = false
        private set

    @Volatile
    private var ended = false

    private val untakenBytes = UntakenBytes(MAX_UNTAKEN_BYTES, shared)

    /** Whether more of the response may be read: at most about [MAX_UNTAKEN_BYTES] of its body wait to be taken. */
    val readable: Boolean get() = untakenBytes.withinLimit

    override suspend fun next(): ResponsePart? {
        val part = queue.receiveCatching().getOrNull()
        if (part is ResponsePart.Body && untakenBytes.taken(part.bytes.size)) connection.get()?.resumeReading(this)
        return part
    }

    override fun cancel() {
        untakenBytes.release()
        if (ended) return
        cancelled = true
        connection.get()?.cancelExchange(this)
    }

    fun bind(to: TargetConnection) {
        connection.set(to)
        if (cancelled) to.cancelExchange(this)
    }

    fun head(head: ResponsePart.Head) {
        queue.trySend(head)
    }

    fun body(bytes: ByteArray) {
        if (bytes.isEmpty()) return
        untakenBytes.received(bytes.size)
        queue.trySend(ResponsePart.Body(bytes))
    }

    fun end() {
        ended = true
        queue.trySend(ResponsePart.End)
        queue.close()
    }

    fun fail(
        reason: String,
        mayHaveRun: Boolean,
        disconnected: Boolean = false,
    ) {
        fail(ResponsePart.Broken(reason, mayHaveRun, disconnected))
    }

    /** Ends the exchange because no connection could be established. */
    fun unreachable(reason: String): Unit =
        fail(ResponsePart.Broken(reason, mayHaveRun = false, unreachable = true))

    private fun fail(part: ResponsePart.Broken) {
        if (ended) return
        ended = true
        queue.trySend(part)
        queue.close()
    }

    private companion object {
        /** Enough to keep a link of 1 Gbit/s busy for some milliseconds, a small part of a process's memory. */
        private const val MAX_UNTAKEN_BYTES = 1_048_576L
    }
}
