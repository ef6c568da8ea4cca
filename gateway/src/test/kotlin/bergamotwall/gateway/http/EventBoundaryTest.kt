package bergamotwall.gateway.http

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class EventBoundaryTest {
    @ParameterizedTest(name = "{0}: inside an event {1}")
    @CsvSource(
        "'', false",
        "'id: 1|data: a||', false",
        "'id: 1~|data: a~|~|', false",
        "'id: 1|data: a|', true",
        "'id: 1|data: a', true",
        "'id: 1|data: a||id: 2', true",
        "'id: 1|data: a||: alive', true",
        "'id: 1|data: a||: alive|', false",
        "'id: 1|: alive|', true",
        "'id: 1|data: a|||', false",
        "'id: 1|data: a||~', false",
    )
    fun `a stream ends after the blank line of an event`(
        text: String,
        inside: Boolean,
    ) {
        val bytes = text.replace('|', '\n').replace('~', '\r').toByteArray()
        listOf(1, 2, 1000).forEach { size ->
            val boundary = EventBoundary()
            bytes.toList().chunked(size).forEach { boundary.add(it.toByteArray()) }
            expectThat(boundary.insideEvent).isEqualTo(inside)
        }
    }
}
