package bergamotwall.gateway.http

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
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
     * The requests with the ids [ids] are sent one after the other and answered with [responses]; a request that is not
     * the first one on its connection is answered with [leftover] before that. The callers get what is [expected], null
     * for a failure, over [connections].
     */
    data class Case(
        val name: String,
        val ids: List<String?>,
        val responses: List<String>,
        val leftover: String,
        val expected: List<String?>,
        val connections: Int,
        val methods: List<String> = ids.map { "POST" },
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `a request gets the response that the target has sent to it`(case: Case) {
        val target = RepeatingTarget(case.responses, case.leftover).also { target = it }
        expectThat(case.ids.zip(case.methods) { id, method -> send(target, id, method) }).isEqualTo(case.expected)
        expectThat(client.connectionsOpened).isEqualTo(case.connections.toLong())
    }

    @ParameterizedTest(name = "{0} bytes")
    @MethodSource("lengths")
    fun `the beginning of a response does not join the next one`(length: Int) {
        val responses = listOf(responseOf(OK, "first", "1"), responseOf(FAILURE, "own", "2"))
        val target = RepeatingTarget(responses, BEGINNING.take(length)).also { target = it }
        send(target, "1", "POST")
        expectThat(send(target, "2", "POST")).isContainedIn(listOf("500 own", null))
    }

    /** The status and the body of a response, or null if it failed; the request may have run then. */
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
                val last = parts.last()
                if (last is ResponsePart.Broken) expectThat(last.mayHaveRun).isTrue()
                "$status $body".takeIf { last is ResponsePart.End }
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

        private const val BEGINNING = "HTTP/1.1 200 OK\r\nDate: today\r\nServer: s\r\n"
        private const val OPEN_FIELD = "HTTP/1.1 200 OK\r\nX: a"

        @JvmStatic
        fun lengths(): List<Int> = (1..BEGINNING.length).toList()

        /** A second request with [secondId] that fails at a target which has sent [first] to one with [firstId]. */
        private fun second(
            name: String,
            firstId: String?,
            first: String,
            secondId: String?,
            connections: Int,
        ) = Case(
            name,
            listOf(firstId, secondId),
            listOf(first, responseOf(FAILURE, "own", secondId)),
            leftover = first,
            listOf(if (REFUSAL in first) "503 first" else "200 first", "500 own"),
            connections
        )

        private fun Case.failing(leftover: String): Case =
            copy(leftover = leftover, expected = listOf(expected.first(), null))

        /** A single request that gets no response that could be trusted. */
        private fun single(
            name: String,
            id: String?,
            response: String,
        ) = Case(name, listOf(id), listOf(response), "", listOf(null), connections = 1)

        @JvmStatic
        fun cases(): List<Case> {
            val first = responseOf(OK, "first", "1")
            val anonymous = responseOf(OK, "first", null)
            val empty = "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"
            val unframed = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nfirst"
            val via = responseOf(FAILURE, "own", "2").replace("Id", "Via: HTTP/1.1 127.0.0.1:80\r\nId")
            return listOf(
                second("another id", "1", first, "2", connections = 1),
                second("the same id", "1", first, "1", connections = 2),
                second("the same id, in chunks", "1", chunkedResponseOf(OK, "first", "1"), "1", connections = 2),
                second("the same id, refused first", "1", responseOf(REFUSAL, "first", "1"), "1", connections = 2),
                second("no id", null, anonymous, null, connections = 2),
                second("an id, then none", "1", first, null, connections = 2),
                second("no id, then one", null, anonymous, "1", connections = 1).failing(anonymous),
                second("no echo", "1", anonymous, "2", connections = 2),
                second("a copy without an echo", "1", first, "2", connections = 1).failing(anonymous),
                second("a copy without an end", "1", first, "2", connections = 1).failing(unframed),
                second("a response without a body", "1", first, "2", connections = 1).copy(leftover = empty),
                second("an empty line", "1", first, "2", connections = 1).copy(leftover = "\r\n"),
                second("a field that names a version", "1", first, "2", connections = 1)
                    .copy(leftover = "", responses = listOf(first, via)),
                Case(
                    "a method whose responses have no body",
                    listOf("1", "2"),
                    listOf(first, "HTTP/1.1 500 Error\r\nId: 2\r\n\r\n"),
                    first,
                    listOf("200 first", "500 "),
                    connections = 2,
                    listOf("POST", "HEAD"),
                ),
                single("the heads of the only two responses", "1", OPEN_FIELD + responseOf(FAILURE, "own", "1")),
                single("the same with two ids", "1", "HTTP/1.1 200 OK\r\nId: 1\r\nX: " + responseOf(FAILURE, "", "1")),
                single("the same without an id", null, OPEN_FIELD + responseOf(FAILURE, "own", null)),
            ) + listOf("HTTP/1.1  500 E", "HTTP/1.1\t500 E", "http/1.1 500 E", "HTTP/1.10 500 E").map { line ->
                val own = "$line\r\nId: 2\r\nContent-Length: 3\r\n\r\nown"
                second("the status line $line", "1", first, "2", connections = 1)
                    .copy(responses = listOf(first, own))
                    .failing(OPEN_FIELD)
            }
        }
    }
}
