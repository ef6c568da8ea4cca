package bergamotwall.drivers

import bergamotwall.drivers.etcd.LineBuffer
import bergamotwall.drivers.http.EventBuffer
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class BuffersTest {
    @ParameterizedTest(name = "chunks {0}")
    @CsvSource(
        delimiter = '|',
        value = ["one^two^ | one,two", "on/e^tw/o^ | one,two", "one^tw | one", "one%^two%^ | one,two", "'' | ''"],
    )
    fun `lines do not depend on how the text is split into chunks`(
        chunks: String,
        expected: String,
    ) {
        val buffer = LineBuffer()
        val lines = chunks.replace('^', '\n').replace('%', '\r').split('/').flatMap { buffer.add(it) }
        expectThat(lines.joinToString(",")).isEqualTo(expected)
    }

    @ParameterizedTest(name = "chunks {0}")
    @CsvSource(
        delimiter = '|',
        value = ["data: a^^data: b^^ | a,b", "da/ta: a^^ | a", ": note^event: x^data: a^^ | a", "data: half | ''"],
    )
    fun `each data line is an event, other lines are ignored`(
        chunks: String,
        expected: String,
    ) {
        val buffer = EventBuffer()
        val events = chunks.replace('^', '\n').split('/').flatMap { buffer.add(it) }
        expectThat(events.joinToString(",")).isEqualTo(expected)
    }
}
