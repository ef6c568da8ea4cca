package bergamotwall.gateway.http

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** The client against a socket that says exactly what the case wants. */
internal class TargetClientTest {
    private val group = NioEventLoopGroup(1)
    private val client = TargetClient(group, NioSocketChannel::class.java)
    private var server: ScriptedTarget? = null

    @AfterEach
    fun close() {
        client.close()
        server?.close()
        group.shutdownGracefully(0, 100, java.util.concurrent.TimeUnit.MILLISECONDS).sync()
    }

    /** Bytes of a target and what the client makes of them: the body, or null if the answer is broken. */
    data class Case(
        val name: String,
        val answer: String,
        val body: String?,
        val kept: Boolean,
        val reset: Boolean = false,
        val close: Boolean = false,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `an answer is whole or broken, and its connection kept or closed`(case: Case) {
        val target = ScriptedTarget(listOf(case.answer, answer("again", "2")), case.reset, case.close)
        server = target
        val first = ask(target, "1")
        expectThat(first.body).isEqualTo(case.body)
        ask(target, "2")
        expectThat(target.connections == 1).isEqualTo(case.kept)
    }

    @Test
    fun `nothing can have run at a target that refuses the connection`() {
        val target = ScriptedTarget(emptyList())
        target.close()
        val last = ask(target, "1").last
        expectThat(last).isA<AnswerPart.Broken>().get { mayHaveRun }.isFalse()
    }

    @Test
    fun `a request whose answer does not come may have run`() {
        val target = ScriptedTarget(listOf(""), close = true)
        server = target
        expectThat(ask(target, "1").last).isA<AnswerPart.Broken>().get { mayHaveRun }.isTrue()
    }

    private class Received(val body: String?, val last: AnswerPart)

    private fun ask(
        target: ScriptedTarget,
        id: String,
    ): Received =
        runBlocking {
            val request = TargetRequest("POST", "/p", listOf(Header("Id", id)), "x".toByteArray(), Header("Id", id))
            val parts = ArrayList<AnswerPart>()
            withTimeout(10_000) {
                for (part in client.send("127.0.0.1:${target.port}", request).parts) {
                    if (part is AnswerPart.Body) target.wasRead()
                    parts += part
                }
            }
            val text = parts.filterIsInstance<AnswerPart.Body>().joinToString("") { String(it.bytes) }
            Received(text.takeIf { parts.last() is AnswerPart.End }, parts.last())
        }

    companion object {
        private fun answer(
            body: String,
            id: String = "1",
            headers: String = "",
        ) = "HTTP/1.1 200 OK\r\nId: $id\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"

        private const val CHUNKED = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case("whole", answer("body"), "body", kept = true),
                Case("chunked", "${CHUNKED}4\r\nbody\r\n0\r\n\r\n", "body", kept = true),
                Case("asks to close", answer("body", headers = "Connection: close\r\n"), "body", kept = false),
                Case("late answer to another request first", answer("old", "0") + answer("body"), "body", kept = false),
                Case("bytes after the answer", answer("body") + "HTTP/1.1 200 OK\r\n\r\n", "body", kept = false),
                Case(
                    "informational answer first",
                    "HTTP/1.1 100 Continue\r\n\r\n" + answer("body"),
                    "body",
                    kept = true
                ),
                Case("cut short", answer("body").dropLast(2), null, kept = false, close = true),
                Case("cut in a chunk", "${CHUNKED}4\r\nbo", null, kept = false, close = true),
                Case("no last chunk", "${CHUNKED}4\r\nbody\r\n", null, kept = false, close = true),
                Case(
                    "no length, ends with its connection",
                    "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody",
                    "body",
                    false,
                    close = true
                ),
                Case("no length, reset", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody", null, false, reset = true),
                Case("not HTTP", "garbage\r\n\r\n", null, kept = false, close = true),
            )
    }
}
