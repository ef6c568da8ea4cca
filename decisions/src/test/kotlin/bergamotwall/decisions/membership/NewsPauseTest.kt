package bergamotwall.decisions.membership

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

internal class NewsPauseTest {
    @ParameterizedTest(name = "{0} members, {1} ms each, within {2} and {3} ms: {4}")
    @CsvSource(
        "13, 4, 20, 400, 52",
        "1, 4, 20, 400, 20",
        "320, 4, 20, 400, 400",
        "95, 20, 300, 1300, 1300",
        "9, 20, 300, 300, 300",
        // News may not be late at all: the shortest pause holds.
        "95, 20, 300, 100, 300",
    )
    fun `the pause follows the number of members within its bounds`(
        members: Int,
        millisPerMember: Long,
        shortestMillis: Long,
        longestMillis: Long,
        expected: Long,
    ) {
        expectThat(newsPauseMillis(members, millisPerMember, shortestMillis, longestMillis)).isEqualTo(expected)
    }

    @Test
    fun `the calls of a fleet that starts do not grow with its square`() {
        val small = callsOfStart(members = 30) { newsPauseMillis(30, 4, 20, 400) }
        val large = callsOfStart(members = 95) { newsPauseMillis(95, 4, 20, 400) }
        val largeUnpaced = callsOfStart(members = 95) { 20 }
        expectThat(large).isLessThan(small * 95 / 30)
        expectThat(largeUnpaced).isGreaterThan(3 * large)
    }

    /** Replays the load pattern: each of [members] registers twice within two seconds, and all watch the prefix. */
    private fun callsOfStart(
        members: Int,
        pauseMillis: () -> Long,
    ): Int {
        val random = Random(1)
        val changes = List(2 * members) { random.nextLong(START_MILLIS) }.sorted()
        var calls = 0
        repeat(members) {
            var nowMillis = random.nextLong(START_MILLIS / 10)
            while (true) {
                val change = changes.firstOrNull { it >= nowMillis } ?: break
                calls++
                nowMillis = change + pauseMillis() + 1
            }
        }
        return calls
    }

    private companion object {
        private const val START_MILLIS = 2_000L
    }
}
