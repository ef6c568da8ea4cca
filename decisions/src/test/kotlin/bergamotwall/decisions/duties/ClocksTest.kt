package bergamotwall.decisions.duties

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** A wrong clock or a delayed message moves starts to another window. */
internal class ClocksTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "7, 7",
        "7 9, 8",
        "0 10 4000, 10",
        "-3000 -10 0 10 4000, 0",
        "0 10 20 9000, 15",
    )
    fun `single clocks that are wrong don't count`(
        clocks: String,
        median: Long,
    ) {
        expectThat(medianMillis(clocks.split(' ').map { it.toLong() })).isEqualTo(median)
    }

    @Test
    fun `a delayed message does not change the offset`() {
        val offset = ClockOffset(periodMillis = 1_000)
        listOf(
            0L to 100L,
            500L to 2_900L,
            3_000L to 3_110L
        ).forEach { (sent, received) -> offset.observe(sent, received) }
        expectThat(offset.millis).isEqualTo(100)
    }

    @Test
    fun `the offset follows clocks that drift apart`() {
        val offset = ClockOffset(periodMillis = 1_000)
        (0L..10L).forEach { offset.observe(it * 500, it * 510) }
        expectThat(offset.millis).isEqualTo(80)
    }
}
