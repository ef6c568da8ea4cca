package bergamotwall.decisions.membership

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class FollowerPauseTest {
    /** Guards against targets that batches learn of late, and against a call per change in a series of changes. */
    @ParameterizedTest(name = "usually {0} ms, urgent {1}, up to {2} ms late: {3}")
    @CsvSource(
        "20, true, 300, 20",
        "300, true, 300, 90",
        "300, false, 300, 300",
        "400, false, 900, 300",
        "20, false, 300, 20",
        "300, false, 100, 100",
        "300, true, -10, 40",
    )
    fun `the pause of a follower`(
        usualMillis: Long,
        urgent: Boolean,
        lateMillis: Long,
        expected: Long,
    ) {
        expectThat(followerPauseMillis(usualMillis, urgent, lateMillis)).isEqualTo(expected)
    }
}
