package bergamotwall.gateway.http

import bergamotwall.decisions.ResponseOwner
import bergamotwall.decisions.SentRequests
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** Reads the responses on one connection, and derives from them whether and how long the connection can be reused. */
internal class ResponseReader(
    private val address: String,
    private val limits: TargetClientLimits,
    private val sent: SentRequests,
    private val doubts: ResponseDoubts,
) {
    private var skipping = false

    /** Whether the connection can be used for another exchange. */
    var keepAlive = true

    /** Until when the idle connection can be reused. */
    @Volatile
    var idleUntilNanos = Long.MAX_VALUE
        private set

    /**
     * Passes [message] to [exchange]. Returns whether its response is complete. Responses to other requests are
     * skipped.
     */
    fun read(
        exchange: NettyExchange,
        message: HttpObject,
    ): Boolean {
        if (message is HttpResponse) readHead(exchange, message)
        if (message is HttpContent && !skipping) exchange.body(ByteBufUtil.getBytes(message.content()))
        val last = message is LastHttpContent
        val complete = last && !skipping
        if (last) skipping = false
        return complete
    }

    private fun readHead(
        exchange: NettyExchange,
        response: HttpResponse,
    ) {
        val informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val identity = exchange.request.identity
        val echoed = identity?.let { response.headers().get(it.name) }
        skipping = informational || (echoed != null && echoed != identity.value)
        if (!informational) doubtAbout(exchange.request, response)?.let { record(it, exchange.request, response) }
        if (skipping) {
            keepAlive = keepAlive && informational
        } else {
            keepAlive = keepAlive && HttpUtil.isKeepAlive(response)
            idleUntilNanos = System.nanoTime() + idleMillis(response) * NANOS_PER_MILLI
            val headers = response.headers().map { Header(it.key, it.value) }
            exchange.head(ResponsePart.Head(response.status().code(), headers))
        }
    }

    private fun doubtAbout(
        request: TargetRequest,
        response: HttpResponse,
    ): ResponseDoubt? =
        when (sent.ownerOf(request.identity?.value, echoedIn(response, request))) {
            ResponseOwner.OTHER -> ResponseDoubt.OTHER_ID
            ResponseOwner.UNKNOWN -> ResponseDoubt.NO_ID
            ResponseOwner.CURRENT ->
                ResponseDoubt.JOINED_HEADS.takeIf { sent.count > 1 && containsStatusLine(response) }
        }

    /** Records [doubt] about a response that was received while [request] was waiting, null if none was. */
    fun record(
        doubt: ResponseDoubt,
        request: TargetRequest?,
        response: HttpResponse? = null,
    ): Unit = doubts.record(doubt, address, request, echoedIn(response, request), sent.count)

    private fun echoedIn(
        response: HttpResponse?,
        request: TargetRequest?,
    ): List<String> = request?.identity?.let { response?.headers()?.getAll(it.name) }.orEmpty()

    /** Whether the head contains the status line of another response, as a head that stopped and the next one do. */
    private fun containsStatusLine(response: HttpResponse): Boolean =
        STATUS_LINE.containsMatchIn(response.status().reasonPhrase()) ||
            response.headers().any { STATUS_LINE.containsMatchIn(it.key) || STATUS_LINE.containsMatchIn(it.value) }

    /** Idle timeout that the target advertises, less a safety margin, or the default limit. */
    private fun idleMillis(response: HttpResponse): Long {
        val advertised = response.headers().get("keep-alive")?.let { TIMEOUT.find(it) }
        val seconds = advertised?.groupValues?.get(1)?.toLongOrNull() ?: return limits.idleMillis
        return seconds * MILLIS_PER_SECOND * IDLE_SHARE_PERCENT / PERCENT
    }

    private companion object {
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val MILLIS_PER_SECOND = 1_000L

        /** A request sent closer to the timeout could reach the target after it has closed the connection. */
        private const val IDLE_SHARE_PERCENT = 80
        private const val PERCENT = 100
        private val TIMEOUT = Regex("timeout=(\\d+)")

        /** Status line of RFC 9112, section 4. */
        private val STATUS_LINE = Regex("HTTP/\\d\\.\\d( \\d{3}|$)")
    }
}
