package bergamotwall.decisions.membership

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.aggregator.ArgumentsAccessor
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class FollowerAnswerTest {
    /** Guards against a proof that is younger than the truth, after delays, pauses and false reports. */
    @ParameterizedTest(name = "age {0}, waited {1} of {2}, {3} ms until the response, {4} ms suspended: {5}")
    @CsvSource(
        "  0,    0, 1000,   10,    0,     0",
        "  0, 1000, 1000, 1010,    0,  1000",
        " 40,  700, 1000,  710,    0,   660",
        // Delayed on the way: only the time for which the follower certainly held it back counts.
        "  0, 1000, 1000, 1900,    0,  1000",
        // The follower says that it waited for longer than it was asked to, or than has passed.
        "  0, 9000, 1000, 1010,    0,  1000",
        "  0, 1000, 1000,  300,    0,   300",
        // This VM was suspended, perhaps while the response was waiting for it.
        " 40, 1000, 1000, 1010, 5000,   -40",
        // The follower was paused, or says that its proof lies in the future.
        "900,  100, 1000,  110,    0,  -800",
        "-90,  100, 1000,  110,    0,   100",
    )
    fun `a response proves`(case: ArgumentsAccessor) {
        val proven =
            provenAfterMillis(
                ageMillis = case.getLong(0),
                waitedMillis = case.getLong(1),
                longestWaitMillis = case.getLong(2),
                elapsedMillis = case.getLong(3),
                suspendedMillis = case.getLong(4),
            )
        expectThat(proven).isEqualTo(case.getLong(5))
    }

    /** Guards against a return to an older state, whatever a follower reports. */
    @ParameterizedTest(name = "revision {0} with entries up to {1}, content {2}, reverts {3}, age {4}, waited {5}: {6}")
    @CsvSource(
        " 9, 0, false, false,    0,  0, ACCEPTED",
        "12, 8, true,  false,    0,  0, ACCEPTED",
        "10, 8, true,  false, 1500,  0, ACCEPTED",
        "10, 8, true,  false, 1501,  0, TOO_OLD",
        " 9, 0, false, false, 1501,  0, TOO_OLD",
        " 9, 8, true,  false,    0,  0, OLDER_STATE",
        "12, 8, true,  true,     0,  0, OLDER_STATE",
        "12, 13, true, false,    0,  0, INCONSISTENT",
        "12, 8, true,  false,   -1,  0, INCONSISTENT",
        "12, 8, true,  false,    0, -1, INCONSISTENT",
    )
    fun `a reader that needs revision 10 judges`(case: ArgumentsAccessor) {
        val answer =
            FollowerAnswer(
                revision = case.getLong(0),
                newestEntryRevision = case.getLong(1),
                hasContent = case.getBoolean(2),
                revertsKey = case.getBoolean(3),
                ageMillis = case.getLong(4),
                waitedMillis = case.getLong(5),
            )
        expectThat(verdictOn(answer, 10, 1_500)).isEqualTo(FollowerVerdict.valueOf(case.getString(6)))
    }
}
