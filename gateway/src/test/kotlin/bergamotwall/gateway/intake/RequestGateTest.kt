package bergamotwall.gateway.intake

import bergamotwall.decisions.admission.IntakeBudget
import bergamotwall.drivers.http.MemoryAccount
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/**
 * Guards against a gate that finds other ends of requests than the HTTP codec does: it would hold back a request for
 * ever, or pass on the next one too early.
 */
internal class RequestGateTest {
    private val passed = StringBuilder()
    private val refused = ArrayList<Refusal>()
    private val account = MemoryAccount(LIMIT_BYTES)
    private val memory = HeldMemory(IntakeMemory(account, IntakeBudget(LIMIT_BYTES)))
    private val output =
        object : RequestGate.Output {
            override fun pass(bytes: ByteBuf) {
                passed.append(bytes.toString(Charsets.ISO_8859_1))
                bytes.release()
            }

            override fun refuse(refusal: Refusal) {
                refused += refusal
            }
        }
    private val gate = RequestGate(memory, RequestGate.Limits(MAX_HEAD_BYTES, MAX_BODY_BYTES, false) { false }, output)

    @ParameterizedTest(name = "{0}")
    @ValueSource(
        strings = [
            "GET / HTTP/1.1^a: b^^",
            "%%%%GET / HTTP/1.1^a: b^^",
            "GET / HTTP/1.1%a:%%",
            "POST / HTTP/1.1^Content-Length: 5^^hello",
            "POST / HTTP/1.1^content-LENGTH : 05^^hello",
            "POST / HTTP/1.1^Transfer-Encoding: chunked^^5^hello^0^^",
            "POST / HTTP/1.1^Transfer-Encoding: Chunked^Content-Length: 1^^5;x=y^hello^A^0123456789^0^^",
            "POST / HTTP/1.1^Transfer-Encoding: chunked^^5^hello^0^a: b^c: d^^",
            "GET / HTTP/1.1^a: b^ c^^",
        ],
    )
    fun `a request passes at once, the next one after the response, however they are cut`(request: String) {
        val first = request.replace("^", "\r\n").replace('%', '\n')
        val body = first.trimStart('\n')
        val next = "GET /next HTTP/1.1\r\n\r\n"
        for (cut in 1..(first + next).length) {
            passed.clear()
            (first + next).chunked(cut).forEach { gate.received(bytesOf(it)) }
            expectThat(passed.toString()).isEqualTo(body)
            gate.responded()
            expectThat(passed.toString()).isEqualTo(body + next)
            gate.responded()
            expectThat(account.heldBytes).isEqualTo(0)
        }
        expectThat(refused).isEqualTo(arrayListOf())
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "GET / HTTP/1.1^{a: b^}60 | HEAD_TOO_LARGE",
            "{x}400 | HEAD_TOO_LARGE",
            "POST / HTTP/1.1^Content-Length: 40001^^ | BODY_TOO_LARGE",
            "{^}2000 | EMPTY_LINES",
            "PRI * HTTP/2.0^^SM^^ | OTHER_PROTOCOL",
            "POST / HTTP/1.1^Transfer-Encoding: gzip, Chunked^Content-Length: 1^^ | MALFORMED",
            "POST / HTTP/1.1^Transfer-Encoding : gzip^^ | MALFORMED",
            "POST / HTTP/1.1^Transfer-Encoding: gzip^Transfer-Encoding: chunked^^ | MALFORMED",
            "GET / HTTP/1.1^ a: b^^ | MALFORMED",
        ],
    )
    fun `what is outside the limits is refused`(
        sent: String,
        refusal: Refusal,
    ) {
        val repeated = Regex("\\{(.*)}(\\d+)").replace(sent) { it.groupValues[1].repeat(it.groupValues[2].toInt()) }
        repeated.replace("^", "\r\n").chunked(PART_CHARS).forEach { if (refused.isEmpty()) gate.received(bytesOf(it)) }
        expectThat(refused).isEqualTo(arrayListOf(refusal))
    }

    @Test
    fun `a request waits for memory`() {
        account.add(LIMIT_BYTES)
        gate.received(bytesOf("GET / HTTP/1.1\r\n\r\n"))
        expectThat(gate.waiting).isTrue()
        expectThat(passed.toString()).isEqualTo("")
        account.add(-LIMIT_BYTES)
        gate.advance()
        expectThat(passed.toString()).isEqualTo("GET / HTTP/1.1\r\n\r\n")
    }

    @Test
    fun `lines that ask for another protocol are left out`() {
        gate.received(bytesOf("GET / HTTP/1.1\r\nUpgrade: h2c\r\na: b\r\nHTTP2-Settings: x\r\n\r\n"))
        expectThat(passed.toString()).isEqualTo("GET / HTTP/1.1\r\na: b\r\n\r\n")
    }

    private fun bytesOf(text: String): ByteBuf = Unpooled.copiedBuffer(text, Charsets.ISO_8859_1)

    private companion object {
        private const val LIMIT_BYTES = 1_000_000L
        private const val MAX_HEAD_BYTES = 300
        private const val MAX_BODY_BYTES = 40_000L
        private const val PART_CHARS = 16
    }
}
