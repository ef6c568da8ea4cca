package bergamotwall.gateway.http

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit

/** A body that a target cut off, and that its next response on the connection fills, is not taken for complete. */
internal class BodyCompletedByOtherResponseTest {
    private val group = NioEventLoopGroup(1)
    private val client = TargetClient(group, NioSocketChannel::class.java)

    @AfterEach
    fun close() {
        client.close()
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
    }

    /** A target sends [response]; the caller gets the body [expected], or a failure if it is null. */
    data class Case(val name: String, val response: String, val expected: String?) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `a body is complete only with its own bytes`(case: Case) {
        RepeatingTarget(listOf(case.response), "").use { target ->
            val identity = Header("Id", "1")
            val request = TargetRequest("POST", "/p", listOf(identity), "x".toByteArray(), identity)
            val parts =
                runBlocking {
                    withTimeout(TIMEOUT_MILLIS) {
                        val exchange = client.send(target.address, request)
                        generateSequence { runBlocking { exchange.next() } }.toList()
                    }
                }
            val body = parts.filterIsInstance<ResponsePart.Body>().joinToString("") { String(it.bytes) }
            expectThat(body.takeIf { parts.last() is ResponsePart.End }).isEqualTo(case.expected)
        }
    }

    companion object {
        private const val TIMEOUT_MILLIS = 10_000L
        private val body = "0123456789".repeat(4)

        private fun withLength(bytes: String) =
            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: ${body.length}\r\n\r\n$bytes"

        private fun inChunks(bytes: String): String {
            val size = Integer.toHexString(body.length)
            return "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n$size\r\n$bytes"
        }

        private val others =
            mapOf(
                "a failure" to "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nContent-Length: 3\r\n\r\nown",
                "the same again" to withLength(body),
                "a response in chunks" to inChunks("$body\r\n0\r\n\r\n"),
                "a short response" to "HTTP/1.1 204 No\r\nId: 1\r\n\r\n",
            )

        private fun whole(text: String) =
            Case("a body with $text", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: ${text.length}\r\n\r\n$text", text)

        @JvmStatic
        fun cases(): List<Case> =
            others.flatMap { (name, other) ->
                body.indices.flatMap { length ->
                    val cut = body.take(length)
                    listOf(
                        Case("$length of 40 bytes, then $name", withLength(cut) + other, null),
                        Case("$length of a chunk's bytes, then $name", inChunks(cut) + other, null),
                    )
                }
            } +
                listOf(
                    whole("HTTP/1.1 is a protocol"),
                    whole("HTTP/1.1 200 OK\r\nId: of another connection\r\n\r\nquoted"),
                    whole("ends in HTTP"),
                    Case("a whole body, then another response", withLength(body) + others.values.first(), body),
                )
    }
}
