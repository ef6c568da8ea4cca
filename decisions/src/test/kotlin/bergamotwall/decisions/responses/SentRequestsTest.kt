package bergamotwall.decisions.responses

import bergamotwall.decisions.ownerOf
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class SentRequestsTest {
    @ParameterizedTest(name = "after [{0}], with {1}: {2}")
    @CsvSource(
        "'', a, true",
        "'', -, true",
        "a, b, true",
        "a, a, false",
        "a b, a, false",
        "a, -, false",
        "-, a, true",
        "-, -, false",
        "a b c, d, false",
    )
    fun `a request may follow if its response can be told from those before`(
        before: String,
        id: String,
        expected: Boolean,
    ) {
        expectThat(sentOf(before).mayAdd(idOf(id))).isEqualTo(expected)
    }

    @ParameterizedTest(name = "sent [{0}], echoed [{1}]: {2}")
    @CsvSource(
        "a, a, CURRENT",
        "a, '', CURRENT",
        "a, b, OTHER",
        "a b, b, CURRENT",
        "a b, a, OTHER",
        "a b, '', UNKNOWN",
        "a b, a b, UNKNOWN",
        "a b, b b, UNKNOWN",
        "a, a a, UNKNOWN",
        "-, '', CURRENT",
        "- a, a, CURRENT",
        "- a, '', UNKNOWN",
    )
    fun `the response to the last request is known by what was sent`(
        sent: String,
        echoed: String,
        expected: ResponseOwner,
    ) {
        val last = idOf(sent.split(' ').last())
        expectThat(sentOf(sent).ownerOf(last, echoed.split(' ').filter { it.isNotEmpty() })).isEqualTo(expected)
    }

    private fun sentOf(ids: String) =
        SentRequests(
            MAX_REQUESTS
        ).also { sent -> ids.split(' ').filter { it.isNotEmpty() }.forEach { sent.add(idOf(it)) } }

    private fun idOf(text: String): String? = text.takeIf { it != "-" }

    private companion object {
        private const val MAX_REQUESTS = 3
    }
}
