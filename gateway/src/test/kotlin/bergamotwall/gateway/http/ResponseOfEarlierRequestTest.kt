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

/** What a target sends late on a kept connection is not taken for the response to a later request. */
internal class ResponseOfEarlierRequestTest {
    private val group = NioEventLoopGroup(1)
    private val client = TargetClient(group, NioSocketChannel::class.java)
    private var target: RepeatingTarget? = null

    @AfterEach
    fun close() {
        client.close()
        target?.close()
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
    }

    /**
     * A first request with the id [firstId] is answered with [first]. Before the second one, with [secondId], is
     * answered with [second], [leftover] comes on the same connection. The second one gets its own response, or may
     * also fail if [mayFail].
     */
    data class Case(
        val name: String,
        val firstId: String?,
        val first: String,
        val leftover: String,
        val secondId: String?,
        val second: String = responseOf(FAILURE, "own", secondId),
        val secondMethod: String = "POST",
        val mayFail: Boolean = false,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `a request gets the response that the target has sent to it`(case: Case) {
        val target = RepeatingTarget(listOf(case.first, case.second), case.leftover).also { target = it }
        expectThat(send(target, case.firstId, "POST")).isEqualTo(textOf(case.first))
        val second = send(target, case.secondId, case.secondMethod)
        if (second != null || !case.mayFail) expectThat(second).isEqualTo(textOf(case.second))
    }

    /** The status and the body of a response, or null if it failed. */
    private fun send(
        target: RepeatingTarget,
        id: String?,
        method: String,
    ): String? =
        runBlocking {
            val identity = id?.let { Header("Id", it) }
            val request = TargetRequest(method, "/p", listOfNotNull(identity), "x".toByteArray(), identity)
            withTimeout(TIMEOUT_MILLIS) {
                val exchange = client.send(target.address, request)
                val parts = generateSequence { runBlocking { exchange.next() } }.toList()
                val status = (parts.first() as? ResponsePart.Head)?.status
                val body = parts.filterIsInstance<ResponsePart.Body>().joinToString("") { String(it.bytes) }
                "$status $body".takeIf { parts.last() is ResponsePart.End }
            }
        }

    companion object {
        private const val TIMEOUT_MILLIS = 10_000L
        private const val OK = "200 OK"
        private const val FAILURE = "500 Internal Server Error"
        private const val REFUSAL = "503 Service Unavailable"

        private fun responseOf(
            status: String,
            body: String,
            id: String?,
        ): String {
            val echo = id?.let { "Id: $it\r\n" }.orEmpty()
            return "HTTP/1.1 $status\r\n${echo}Content-Length: ${body.length}\r\n\r\n$body"
        }

        private fun chunkedResponseOf(
            status: String,
            body: String,
            id: String?,
        ): String {
            val echo = id?.let { "Id: $it\r\n" }.orEmpty()
            return "HTTP/1.1 $status\r\n${echo}Transfer-Encoding: chunked\r\n\r\n${body.length}\r\n$body\r\n0\r\n\r\n"
        }

        /** The status and the body of [response]. */
        private fun textOf(response: String): String {
            val status = response.substringAfter(' ').substringBefore(' ')
            val body = response.substringAfter("\r\n\r\n")
            return if ("chunked" in response) "$status ${body.lines()[1]}" else "$status $body"
        }

        private fun repeated(
            name: String,
            firstId: String?,
            first: String,
            secondId: String?,
        ) = Case(name, firstId, first, first, secondId)

        /** The bytes after which the beginning of a response may stop. */
        private fun beginnings(): List<Case> {
            val response = "HTTP/1.1 200 OK\r\nDate: today\r\nServer: s\r\n"
            return (1..response.length).map { length ->
                val beginning = response.take(length)
                Case(
                    "the beginning of a response: ${beginning.replace("\r", "\\r").replace("\n", "\\n")}",
                    firstId = "1",
                    first = responseOf(OK, "first", "1"),
                    leftover = beginning,
                    secondId = "2",
                    mayFail = true,
                )
            }
        }

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                repeated("another id", "1", responseOf(OK, "first", "1"), "2"),
                repeated("the same id", "1", responseOf(OK, "first", "1"), "1"),
                repeated("the same id, in chunks", "1", chunkedResponseOf(OK, "first", "1"), "1"),
                repeated("the same id, refused first", "1", responseOf(REFUSAL, "first", "1"), "1"),
                repeated("no id", null, responseOf(OK, "first", null), null),
                repeated("an id, then none", "1", responseOf(OK, "first", "1"), null),
                repeated("no id, then one", null, responseOf(OK, "first", null), "1").copy(mayFail = true),
                repeated("no echo", "1", responseOf(OK, "first", null), "2").copy(mayFail = true),
                repeated("an echo, then a copy without one", "1", responseOf(OK, "first", "1"), "2")
                    .copy(leftover = responseOf(OK, "first", null), mayFail = true),
                repeated("a method whose responses have no body", "1", responseOf(OK, "first", "1"), "2")
                    .copy(secondMethod = "HEAD", second = "HTTP/1.1 500 Error\r\nId: 2\r\n\r\n", mayFail = true),
            ) + beginnings()
    }
}
