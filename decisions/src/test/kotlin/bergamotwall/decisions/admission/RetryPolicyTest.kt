package bergamotwall.decisions.admission

import bergamotwall.model.RunOutcome
import bergamotwall.model.RunState
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

internal class RetryPolicyTest {
    @ParameterizedTest(name = "{0} idempotent={1} budget={2} attempt={3} leftMillis={4}: {5}")
    @CsvSource(
        "NOT_STARTED, false, true, 1, 10000, RETRY",
        "NOT_STARTED, true, true, 1, 10000, RETRY",
        "BROKEN, true, true, 1, 10000, RETRY",
        "BROKEN, false, true, 1, 10000, UNKNOWN",
        "BROKEN, true, false, 1, 10000, UNKNOWN",
        "NOT_STARTED, true, false, 1, 10000, NOT_RUN",
        "NOT_STARTED, true, true, 6, 10000, NOT_RUN",
        "NOT_STARTED, true, true, 1, 0, NOT_RUN",
        "BROKEN, true, true, 1, 0, UNKNOWN",
        "WHOLE, false, true, 1, 10000, RAN",
    )
    @Suppress("LongParameterList") // one parameter a column of the table
    fun `retries only requests that are safe to repeat, within budget and deadline`(
        outcome: RunOutcome,
        idempotent: Boolean,
        budgetLeft: Boolean,
        attempt: Int,
        leftMillis: Long,
        expected: String,
    ) {
        val failed = FailedAttempt(attempt, outcome, idempotent, budgetLeft, 5_000, 5_000 + leftMillis)
        val decision = decideRetry(failed, Random(1))
        if (expected == "RETRY") {
            expectThat(decision).isA<RetryDecision.Retry>()
        } else {
            expectThat(decision).isA<RetryDecision.GiveUp>().get { runState }.isEqualTo(RunState.valueOf(expected))
        }
    }

    @Test
    fun `retries use up the budget, and first attempts refill it`() {
        var budget = RetryBudget(ratio = 0.2, burst = 3.0)
        repeat(3) { budget = checkNotNull(budget.taken()) }
        expectThat(budget.taken()).isNull()
        repeat(5) { budget = budget.attempted() }
        expectThat(budget.taken()).isNotNull()
    }
}
