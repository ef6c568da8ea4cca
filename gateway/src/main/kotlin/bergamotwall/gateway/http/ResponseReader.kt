package bergamotwall.gateway.http

import bergamotwall.decisions.responses.JoinedResponses
import bergamotwall.decisions.responses.ResponseOwner
import bergamotwall.decisions.responses.SentRequests
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/**
 * Reads the responses on one connection, and derives from them whether and how long the connection can be reused.
 * [following] returns the bytes received right after the response that has ended last.
 */
internal class ResponseReader(
    private val address: String,
    private val limits: TargetClientLimits,
    private val sent: SentRequests,
    private val doubts: ResponseDoubts,
    private val following: () -> ByteArray,
) {
    private var skipping = false
    private var joined: JoinedResponses? = null

    /** Whether the connection can be used for another exchange. */
    var keepAlive = true

    /** Until when the idle connection can be reused. */
    @Volatile
    var idleUntilNanos = Long.MAX_VALUE
        private set

    /**
     * Passes [message] to [exchange] and returns how far its response has been read. Responses to other requests are
     * skipped.
     */
    fun read(
        exchange: NettyExchange,
        message: HttpObject,
    ): ReadProgress {
        val inDoubt =
            message is HttpResponse && !readHead(exchange, message) ||
                message is HttpContent && !skipping && !readBody(exchange, message)
        if (inDoubt) return ReadProgress.IN_DOUBT
        val last = message is LastHttpContent
        val complete = last && !skipping
        if (last) skipping = false
        return if (complete) ReadProgress.COMPLETE else ReadProgress.INCOMPLETE
    }

    /** Returns whether the body is known to be that of one response. Its bytes are passed on only then. */
    private fun readBody(
        exchange: NettyExchange,
        message: HttpContent,
    ): Boolean {
        val request = exchange.request
        val responses = joined ?: JoinedResponses(request.identity?.name, sent::contains).also { joined = it }
        val bytes = ByteBufUtil.getBytes(message.content())
        val last = message is LastHttpContent
        val doubtful = responses.add(bytes) || last && responses.endsInside(following())
        if (last) joined = null
        if (doubtful) record(ResponseDoubt.JOINED_BODY, request) else exchange.body(bytes)
        return !doubtful
    }

    /** Returns whether [response] is known to belong to one request, that of [exchange] or another one. */
    private fun readHead(
        exchange: NettyExchange,
        response: HttpResponse,
    ): Boolean {
        val request = exchange.request
        val informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val doubt = doubtAbout(request, response, informational)
        skipping = informational || doubt == ResponseDoubt.OTHER_ID
        if (doubt != null) {
            record(doubt, request, response)
            keepAlive = false
        } else if (!informational) {
            keepAlive = keepAlive && HttpUtil.isKeepAlive(response) && leavesNoDoubt(request, response)
            idleUntilNanos = System.nanoTime() + idleMillis(response) * NANOS_PER_MILLI
            val headers = response.headers().map { Header(it.key, it.value) }
            exchange.head(ResponsePart.Head(response.status().code(), headers))
        }
        // The response that is due follows another one only if that has an end.
        return doubt == null || doubt == ResponseDoubt.OTHER_ID && isFramed(response)
    }

    private fun doubtAbout(
        request: TargetRequest,
        response: HttpResponse,
        informational: Boolean,
    ): ResponseDoubt? {
        val echoed = echoedIn(response, request)
        val owner = sent.ownerOf(request.identity?.value, echoed)
        return when {
            containsStatusLine(response) -> ResponseDoubt.JOINED_HEADS
            informational || owner == ResponseOwner.CURRENT -> null
            owner == ResponseOwner.OTHER -> ResponseDoubt.OTHER_ID
            echoed.isNotEmpty() -> ResponseDoubt.SEVERAL_IDS
            else -> ResponseDoubt.NO_ID.takeUnless { request.respondedInOrder }
        }
    }

    private fun isFramed(response: HttpResponse): Boolean =
        HttpUtil.isContentLengthSet(response) ||
            HttpUtil.isTransferEncodingChunked(response) ||
            response.status() in BODILESS

    /** Whether the responses to further requests on the connection could be told from one like [response]. */
    private fun leavesNoDoubt(
        request: TargetRequest,
        response: HttpResponse,
    ): Boolean =
        request.respondedInOrder || request.identity == null || echoedIn(response, request).isNotEmpty()

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
            response.headers().any { STATUS_LINE.containsMatchIn(it.value) || STATUS_LINE.containsMatchIn(it.key) }

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
        private val BODILESS = setOf(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED)
        private val TIMEOUT = Regex("timeout=(\\d+)")

        /** Status line (RFC 9112, section 4), as leniently as the decoder reads it. */
        private val STATUS_LINE = Regex("HTTP/\\d+\\.\\d+\\s+\\d{3}(?!\\S)", RegexOption.IGNORE_CASE)
    }
}
