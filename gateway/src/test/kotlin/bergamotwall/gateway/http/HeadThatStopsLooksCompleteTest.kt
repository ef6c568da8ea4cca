package bergamotwall.gateway.http

import bergamotwall.gateway.http.PacketTarget.End
import bergamotwall.gateway.http.PacketTarget.Response
import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit

/** A response whose head or trailers stop, at any byte, is not complete. */
internal class HeadThatStopsLooksCompleteTest {
    private val group = NioEventLoopGroup(1)
    private val client = TargetClient(group, ReadCountingChannel::class.java)
    private var target: PacketTarget? = null

    @AfterEach
    fun close() {
        client.close()
        target?.close()
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
    }

    /** A response of the parts [before], [cut] and [after], of which [cut] is the one that stops. */
    data class Case(
        val name: String,
        val cut: String,
        val after: String = "body",
        val before: String = "",
        val end: End = End.CLOSE,
        val whole: String? = "200 body",
    ) {
        override fun toString(): String = "$name, then $end"
    }

    @ParameterizedTest
    @MethodSource("cut")
    fun `a response that stops fails as one that may have run`(case: Case) {
        val target = serve { cut -> Response(listOf(case.before + case.cut.take(cut.toInt())), case.end) }
        val cuts = 1 until case.cut.length
        val complete = cuts.filterNot { send(target, "$it").mayHaveRun }
        expectThat(complete).isEmpty()
        expectThat(target.carried.map { it.second }).isEqualTo(cuts.map { "$it" })
    }

    @ParameterizedTest
    @MethodSource("whole")
    fun `a whole response is complete if each of its bytes comes alone`(case: Case) {
        val target = serve { Response((case.before + case.cut + case.after).map { "$it" }, case.end) }
        expectThat(send(target, "1").text).isEqualTo(case.whole)
    }

    /** When the second response begins. */
    enum class Time { WITH_THE_FIRST, WHILE_IDLE, WITH_THE_NEXT, WITH_THE_NEXT_THEN_CLOSE }

    @ParameterizedTest
    @MethodSource("times")
    fun `a second response that stops is not joined to that of the next request`(time: Time) {
        val second = "${HEAD}Id: 1\r\nContent-Length: 5"
        expectThat((1..second.length).filterNot { isKeptApart(second.take(it), time) }).isEmpty()
    }

    /** Whether the request after [leftover] gets its own response or fails, and the connection isn't used again. */
    private fun isKeptApart(
        leftover: String,
        time: Time,
    ): Boolean {
        val target = serve { id -> responseTo(id, leftover, time) }
        expectThat(send(target, "1").text).isEqualTo("200 first")
        group.submit {}.sync()
        if (time == Time.WHILE_IDLE) target.sendUnasked(leftover)
        group.submit {}.sync()
        val next = send(target, "2")
        group.submit {}.sync()
        expectThat(send(target, "3").text).isEqualTo("500 own")
        val connections = target.carried.groupBy({ it.second }, { it.first }).mapValues { it.value.single() }
        target.close()
        return when (time) {
            Time.WITH_THE_FIRST, Time.WHILE_IDLE -> next.text == "500 own" && connections["2"] != connections["1"]
            Time.WITH_THE_NEXT -> next.text == "500 own" || next.mayHaveRun
            Time.WITH_THE_NEXT_THEN_CLOSE -> next.mayHaveRun
        } && connections["3"] != connections["1"]
    }

    private fun responseTo(
        id: String,
        leftover: String,
        time: Time,
    ): Response {
        val first = "${HEAD}Id: 1\r\nContent-Length: 5\r\n\r\nfirst"
        val own = "HTTP/1.1 500 Internal Server Error\r\nId: $id\r\nContent-Length: 3\r\n\r\nown"
        return when {
            id == "1" -> Response(listOf(if (time == Time.WITH_THE_FIRST) first + leftover else first))
            id == "2" && time == Time.WITH_THE_NEXT -> Response(listOf(leftover + own))
            id == "2" && time == Time.WITH_THE_NEXT_THEN_CLOSE -> Response(listOf(leftover), End.CLOSE)
            else -> Response(listOf(own))
        }
    }

    private fun serve(respond: (String) -> Response): PacketTarget = PacketTarget(respond).also { target = it }

    /** [text]: the status and the body, null if the response failed. */
    private class Received(val text: String?, val mayHaveRun: Boolean)

    private fun send(
        target: PacketTarget,
        id: String,
    ): Received =
        runBlocking {
            val identity = Header("Id", id)
            val request = TargetRequest("POST", "/p", listOf(identity), "x".toByteArray(), identity)
            withTimeout(TIMEOUT_MILLIS) {
                val exchange = client.send(target.address, request)
                val parts = generateSequence { runBlocking { exchange.next() } }.toList()
                val body = parts.filterIsInstance<ResponsePart.Body>().joinToString("") { String(it.bytes) }
                val text = (parts.first() as? ResponsePart.Head)?.let { "${it.status} $body" }
                val broken = parts.last() as? ResponsePart.Broken
                Received(text.takeIf { parts.last() is ResponsePart.End }, broken?.mayHaveRun == true)
            }
        }

    companion object {
        private const val TIMEOUT_MILLIS = 10_000L
        private const val HEAD = "HTTP/1.1 200 OK\r\nServer: s\r\n"
        private const val INTERIM = "HTTP/1.1 100 Continue\r\n\r\n"
        private const val HINTS = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
        private const val CHUNKED = "${HEAD}Transfer-Encoding: chunked\r\n\r\n"
        private const val CHUNK = "4\r\nbody\r\n"
        private const val EVENT = "id: 1\ndata: e1\n\n"

        private val responses =
            listOf(
                Case("a length", "${HEAD}Content-Length: 4\r\n\r\n"),
                Case("a length of 0", "${HEAD}Content-Length: 0\r\n\r\n", after = "", whole = "200 "),
                Case("no content", "HTTP/1.1 204 No Content\r\nServer: s\r\n\r\n", after = "", whole = "204 "),
                Case("chunks", CHUNKED, after = "${CHUNK}0\r\n\r\n"),
                Case("until the connection ends", "$HEAD\r\n"),
                Case("events", "${HEAD}Content-Type: text/event-stream\r\n\r\n", EVENT, whole = "200 $EVENT"),
                Case("100 first", "${HEAD}Content-Length: 4\r\n\r\n", before = INTERIM),
                Case("103 first, no length", "$HEAD\r\n", before = HINTS),
                Case("100 and 103 that stop, chunks", "$INTERIM$HINTS$CHUNKED", after = "${CHUNK}0\r\n\r\n"),
                Case("trailers", "0\r\nChecksum: 1\r\nServer: s\r\n\r\n", after = "", before = CHUNKED + CHUNK),
                Case("no trailers", "0\r\n\r\n", after = "", before = CHUNKED + CHUNK),
            )

        @JvmStatic
        fun cut(): List<Case> = listOf(End.CLOSE, End.RESET).flatMap { end -> responses.map { it.copy(end = end) } }

        @JvmStatic
        fun whole(): List<Case> = responses

        @JvmStatic
        fun times(): List<Time> = Time.values().toList()
    }
}
