package bergamotwall.gateway.batches

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.Base64

/** Guards against bodies that are accepted, refused or decoded otherwise than by the decoder of small batches. */
internal class BodyScannerTest {
    @ParameterizedTest
    @ValueSource(
        strings = ["", "AA==", "AA=", "AA", "A", "AAA=", "AAA", "AAAA", "=", "AA==AA", "AA=A", "+/9z", "-_9z", "A A="]
    )
    fun `a body is base64 if the decoder of the JDK accepts it`(body: String) {
        val expected = runCatching { Base64.getDecoder().decode(body).toList() }.getOrNull()
        listOf(body, body.replace("/", "\\/"), body.replace("=", "\\u003d")).forEach { written ->
            val count = BodyDecoder().also { decoder -> written.forEach { decoder.add(it) } }.byteCount
            expectThat(count).isEqualTo(expected?.size)
            val bytes = ByteArray(count ?: 0)
            BodyDecoder(bytes).also { decoder -> written.forEach { decoder.add(it) } }
            expectThat(bytes.toList()).isEqualTo(expected.orEmpty())
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 7, 1_000])
    fun `only bodies of items are separated, however the text is divided`(pieceChars: Int) {
        val text =
            """{"body":"a","items":[{"headers":{"body":"b"},"x\"":"{","body":"AA\/\"A","scorer":{"body":"c"}},""" +
                """{"b\u006fdy" : "AAAA","path":"body","other":[{"body":"d"}]},{"body":1}],"other":[{"body":"e"}]}"""
        val scanner = BodyScanner("body")
        text.chunked(pieceChars).forEach { scanner.add(it) }
        expectThat(scanner.rest).isEqualTo(text.replace("""AA\/\"A""", "0").replace("AAAA", "1"))
        expectThat(scanner.bodies.map { text.substring(it.start, it.start + it.length) })
            .isEqualTo(listOf("""AA\/\"A""", "AAAA"))
        expectThat(scanner.bodies.map { it.byteCount }).isEqualTo(listOf(null, 3))
    }
}
