package bergamotwall.decisions.batches

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isIn

/** Guards against items that are moved off targets because these loaded weights. */
internal class EventPaceTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "steady, 50 50 50 50, 49.0, 51.0",
        "a pause for weights, 50 50 1200 50, 49.0, 51.0",
        "half a pause, 50 50 600 50, 49.0, 51.0",
        "a slow target, 50 200 200 200 200 200 200 200 200 200 200 200 200, 190.0, 200.0",
    )
    fun `pauses do not count as slow generation`(
        case: String,
        intervals: String,
        least: Double,
        most: Double,
    ) {
        val pace = intervals.split(' ').fold(EventPace()) { pace, millis -> pace.after(millis.toLong()) }
        expectThat(pace.eventMillis).describedAs(case).isIn(least..most)
    }
}
