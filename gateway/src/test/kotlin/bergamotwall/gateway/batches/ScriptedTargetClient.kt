package bergamotwall.gateway.batches

import bergamotwall.gateway.http.ConnectOutcome
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.TargetRequest
import kotlinx.coroutines.channels.Channel

/** Records the requests sent to targets and responds with the parts that a test adds. */
internal class ScriptedTargetClient : TargetClient {
    /** Exchanges in the order in which their requests were sent. */
    val exchanges = ArrayList<Exchange>()

    override fun send(
        address: String,
        request: TargetRequest,
    ): TargetExchange = Exchange(request).also { exchanges += it }

    override suspend fun connect(
        address: String,
        timeoutMillis: Int,
    ): ConnectOutcome = error("no connection is opened ahead of a request")

    override fun retire(address: String) = Unit

    override val connectionsOpened: Long get() = 0

    override fun close() = Unit

    /** One request and the parts of its response. */
    class Exchange(val request: TargetRequest) : TargetExchange {
        private val parts = Channel<ResponsePart>(Channel.UNLIMITED)

        /** Whether the sender has cancelled the request. */
        var cancelled = false
            private set

        override suspend fun next(): ResponsePart? = parts.receiveCatching().getOrNull()

        override fun cancel() {
            cancelled = true
        }

        /** Responds with [part]. */
        fun respond(part: ResponsePart) {
            parts.trySend(part)
        }
    }
}
