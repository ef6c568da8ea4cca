package bergamotwall.gateway.batches

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

internal class EventParserTest {
    private val text =
        "version: 3\nid: 1\ndata: grüß\n\nid: 2\r\ndata: a\r\ndata:b\r\n\r\n: comment\n\nid: 3\ndata: cut"

    @ParameterizedTest(name = "in chunks of {0} bytes")
    @ValueSource(ints = [1, 2, 3, 7, 1000])
    fun `events are parsed from chunks of any size, and an incomplete last event is ignored`(size: Int) {
        val parser = EventParser()
        val events = text.toByteArray().toList().chunked(size).flatMap { parser.add(it.toByteArray()) }
        expectThat(events).hasSize(2)
        expectThat(events.map { it.id }).containsExactly(1L, 2L)
        expectThat(events.map { it.data }).containsExactly("grüß", "a\nb")
        expectThat(events.first().fields["version"]).isEqualTo("3")
    }
}
