package bergamotwall.decisions.admission

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against memory that large requests take from small ones, and against closing a connection that progresses. */
internal class IntakeBudgetTest {
    private val budget = IntakeBudget(limitBytes = 3_200_000)

    @ParameterizedTest(name = "held {0}, own {1}, more {2}, privileged {3}")
    @CsvSource(
        "0, 0, 2800000, false, true",
        "0, 0, 2800001, false, false",
        "2700000, 100000, 100000, false, true",
        "2700000, 100000, 100001, false, false",
        "2800000, 0, 65536, false, true",
        "2800000, 0, 65537, false, false",
        "3050000, 0, 50000, false, true",
        "3050001, 0, 50000, false, false",
        "3050001, 0, 50000, true, true",
        "3199999, 0, 1, true, true",
        "3199999, 0, 2, true, false",
    )
    fun `large requests leave memory to small ones, and callers to health checks`(
        heldBytes: Long,
        ownBytes: Long,
        moreBytes: Long,
        privileged: Boolean,
        admitted: Boolean,
    ) {
        expectThat(budget.admits(heldBytes, ownBytes, moreBytes, privileged)).isEqualTo(admitted)
    }

    @ParameterizedTest(name = "{0}, overdue {1}")
    @CsvSource(
        delimiter = '|',
        value = [
            // Name, bytes held, time without progress, time since the start if it waits.
            "a 900 0 -, b 900 999 - | true | ''",
            "a 900 1000 -, b 500 2000 - | false | b",
            "a 900 2000 -, b 500 2000 - | false | a",
            "a 0 5000 - | true | ''",
            "a 900 0 50, b 500 0 40, c 400 0 30 | false | ''",
            "a 900 0 50, b 500 0 40, c 400 0 30 | true | b",
            "a 900 5000 50 | true | ''",
            "a 900 5000 50, b 10 1000 - | true | b",
        ],
    )
    fun `the connection that holds most without progress is closed first`(
        connections: String,
        overdue: Boolean,
        closed: String,
    ) {
        val holdings = connections.split(", ").map { text ->
            val fields = text.split(' ')
            Holding(fields[0], fields[1].toLong(), fields[2].toLong(), fields[3].toLongOrNull())
        }
        expectThat(budget.closedFirst(holdings, STALLED_MILLIS, overdue)?.name.orEmpty()).isEqualTo(closed)
    }

    private class Holding(
        val name: String,
        override val heldBytes: Long,
        override val stalledMillis: Long,
        override val waitingMillis: Long?,
    ) : IntakeHolding

    private companion object {
        private const val STALLED_MILLIS = 1_000L
    }
}
