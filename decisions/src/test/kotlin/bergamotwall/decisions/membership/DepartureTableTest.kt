package bergamotwall.decisions.membership

import bergamotwall.model.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Tables are written as `id:start`, with `@time` if no longer registered; the start time is `?` if unknown. */
internal class DepartureTableTest {
    @ParameterizedTest(name = "{0}: {1} is leaving: {2}")
    @CsvSource(
        "'', a:1, false",
        "a:1, a:1, true",
        "a:1, b:1, false",
        // A later incarnation is not, an earlier one, read from an outdated registration, is.
        "a:1, a:2, false",
        "a:2, a:1, true",
        "a:1@5, a:1, true",
        "a:?, a:?, true",
        "a:1, a:?, false",
        "a:?, a:1, false",
    )
    fun `a departure is that of an incarnation and of the ones before`(
        table: String,
        target: String,
        leaving: Boolean,
    ) {
        expectThat(parse(table).contains(idOf(target), startOf(target))).isEqualTo(leaving)
    }

    @ParameterizedTest(name = "{0} with {1}: {2}")
    @CsvSource(
        "'', a:1, a:1",
        "a:1, a:1, a:1",
        "a:1, a:2, a:2",
        // An answer of an earlier incarnation arrives late.
        "a:2, a:1, a:2",
        "a:1, b:1, a:1 b:1",
        "a:?, a:1, a:1",
    )
    fun `the departure of the latest incarnation is kept`(
        table: String,
        target: String,
        expected: String,
    ) {
        expectThat(parse(table).with(idOf(target), startOf(target))).isEqualTo(parse(expected))
    }

    @ParameterizedTest(name = "{0}, registered {1} at {2}: {3}")
    @CsvSource(
        "a:1, a, 5, a:1",
        "a:1, '', 5, a:1@5",
        "a:1@5, '', 9, a:1@5",
        "a:1@5, a, 9, a:1",
        "a:1@5, '', 104, a:1@5",
        "a:1@5, '', 105, ''",
        "a:1@5 b:1, b, 105, b:1",
        // Without a start time, the next registration may be that of a later incarnation.
        "a:?, a, 5, a:?",
        "a:?, '', 5, ''",
    )
    fun `a departure ends some time after its target is no longer registered`(
        table: String,
        registered: String,
        nowMillis: Long,
        expected: String,
    ) {
        val ids = words(registered).mapTo(HashSet()) { TargetId(it) }
        expectThat(parse(table).next(ids, nowMillis, RETENTION_MILLIS)).isEqualTo(parse(expected))
    }

    private fun parse(text: String) =
        DepartureTable(
            words(text).associate { word ->
                idOf(word) to
                    Departure(startOf(word.substringBefore('@')), word.substringAfter('@', "").toLongOrNull())
            },
        )

    private fun words(text: String) = text.split(' ').filter { it.isNotEmpty() }

    private fun idOf(target: String) = TargetId(target.substringBefore(':'))

    private fun startOf(target: String) = target.substringAfter(':').toLongOrNull()

    private companion object {
        private const val RETENTION_MILLIS = 100L
    }
}
