package bergamotwall.gateway.http

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import java.util.concurrent.atomic.AtomicReference

/** State of one exchange. The connection is set by [bind] once it is established. */
internal class NettyExchange(val request: TargetRequest) : TargetExchange {
    private val queue = Channel<ResponsePart>(Channel.UNLIMITED)
    private val connection = AtomicReference<TargetConnection?>()

    @Volatile
    var cancelled = false
        private set

    @Volatile
    private var ended = false

    override val parts: ReceiveChannel<ResponsePart> get() = queue

    override fun cancel() {
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
        if (bytes.isNotEmpty()) queue.trySend(ResponsePart.Body(bytes))
    }

    fun end() {
        ended = true
        queue.trySend(ResponsePart.End)
        queue.close()
    }

    fun fail(
        reason: String,
        mayHaveRun: Boolean,
    ) {
        if (ended) return
        ended = true
        queue.trySend(ResponsePart.Broken(reason, mayHaveRun))
        queue.close()
    }
}
