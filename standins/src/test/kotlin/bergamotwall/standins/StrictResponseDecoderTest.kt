package bergamotwall.standins

import bergamotwall.drivers.http.StrictResponseDecoder
import bergamotwall.standins.fakes.OddResponse
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/** Malformed responses are decoded as others than those that were sent, also if they arrive in pieces. */
internal class StrictResponseDecoderTest {
    @ParameterizedTest
    @MethodSource("malformed")
    fun `a malformed response is not decoded`(response: OddResponse) {
        for (pieceBytes in PIECES) {
            expectThat(decode(response.bytes(FIELDS, BODY), pieceBytes)).isEqualTo(MALFORMED)
        }
    }

    @ParameterizedTest
    @MethodSource("rare")
    fun `a sound response is decoded, with its fields as they are`(response: OddResponse) {
        for (pieceBytes in PIECES) {
            val decoded = decode(response.bytes(FIELDS, BODY), pieceBytes)
            val line = response.line.takeUnless { response.toString() == "trailer" }
            val field = line?.let { "${it.substringBefore(':')}: ${it.substringAfter(':').trim()}" }
            val fields = FIELDS + listOfNotNull(field)
            expectThat(decoded).contains("${response.status} ${fields.joinToString("|")}|").contains(" $BODY")
        }
    }

    /** The status, the fields and the body of the response in [bytes], or [MALFORMED]. */
    private fun decode(
        bytes: String,
        pieceBytes: Int,
    ): String {
        val channel = EmbeddedChannel(StrictResponseDecoder(HttpDecoderConfig()))
        return try {
            bytes.chunked(pieceBytes).forEach {
                channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1))
            }
            channel.finish()
            textOf(generateSequence { channel.readInbound<HttpObject>() }.toList())
        } catch (_: DecoderException) {
            // Nothing that was decoded before is a whole response.
            val messages = generateSequence { channel.readInbound<HttpObject>() }.toList()
            textOf(messages.dropWhile { it is HttpResponse && isInterim(it) || it is LastHttpContent })
        } finally {
            channel.finishAndReleaseAll()
        }
    }

    private fun textOf(messages: List<HttpObject>): String {
        val response = messages.filterIsInstance<HttpResponse>().lastOrNull()
        val body = messages.filterIsInstance<HttpContent>().joinToString("") { it.content().toString(Charsets.UTF_8) }
        if (response == null || messages.last() !is LastHttpContent) return MALFORMED
        val fields = response.headers().joinToString("") { "${it.key}: ${it.value}|" }
        return "${response.status().code()} $fields $body"
    }

    private fun isInterim(response: HttpResponse): Boolean =
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL

    companion object {
        private const val MALFORMED = "malformed"
        private const val BODY = "body"
        private val FIELDS = listOf("Server: s")
        private val PIECES = listOf(Int.MAX_VALUE, 1)

        @JvmStatic
        fun malformed(): List<OddResponse> = OddResponse.malformed

        @JvmStatic
        fun rare(): List<OddResponse> = OddResponse.rare
    }
}
