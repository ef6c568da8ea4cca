package bergamotwall.gateway.http

import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** Reads the answers of one connection, and learns from them whether and how long it can be kept. */
internal class AnswerReader(private val limits: TargetClientLimits) {
    private var skipping = false

    /** Whether the connection can serve another exchange. */
    var keep = true

    /** Until when an idle connection can be used. */
    @Volatile
    var idleUntilNanos = Long.MAX_VALUE
        private set

    /** Passes [message] on to [exchange]; returns whether its answer is whole. An answer to another is skipped. */
    fun read(
        exchange: NettyExchange,
        message: HttpObject,
    ): Boolean {
        if (message is HttpResponse) head(exchange, message)
        if (message is HttpContent && !skipping) exchange.body(ByteBufUtil.getBytes(message.content()))
        val last = message is LastHttpContent
        val whole = last && !skipping
        if (last) skipping = false
        return whole
    }

    private fun head(
        exchange: NettyExchange,
        response: HttpResponse,
    ) {
        val informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val identity = exchange.request.identity
        val echoed = identity?.let { response.headers().get(it.name) }
        skipping = informational || (echoed != null && echoed != identity.value)
        if (skipping) {
            keep = keep && informational
        } else {
            keep = keep && HttpUtil.isKeepAlive(response)
            idleUntilNanos = System.nanoTime() + idleMillis(response) * NANOS_PER_MILLI
            val headers = response.headers().map { Header(it.key, it.value) }
            exchange.head(AnswerPart.Head(response.status().code(), headers))
        }
    }

    /** Idle time that the target states, less a margin for the way, or the limit. */
    private fun idleMillis(response: HttpResponse): Long {
        val stated = response.headers().get("keep-alive")?.let { TIMEOUT.find(it) }
        val seconds = stated?.groupValues?.get(1)?.toLongOrNull() ?: return limits.idleMillis
        return seconds * MILLIS_PER_SECOND * IDLE_PART_PERCENT / PERCENT
    }

    private companion object {
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val MILLIS_PER_SECOND = 1_000L

        /** A request sent later could meet the target's close on the way. */
        private const val IDLE_PART_PERCENT = 80
        private const val PERCENT = 100
        private val TIMEOUT = Regex("timeout=(\\d+)")
    }
}
