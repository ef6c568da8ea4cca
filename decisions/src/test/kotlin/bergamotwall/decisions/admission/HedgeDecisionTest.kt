package bergamotwall.decisions.admission

import bergamotwall.decisions.placement.CandidateTarget
import bergamotwall.model.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

internal class HedgeDecisionTest {
    /** Guards against hedges that add load without a chance to be first. Waited and remaining time are one column. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "a late request goes to a free and fast target, b:0:40, 100 900, 1, b",
        "not without an extra send left, b:0:40, 100 900, 0.9, BUDGET",
        "not to the same target, a:0:40, 100 900, 1, NO_FREE_SLOT",
        "not to a full target, b:8:40, 100 900, 1, NO_FREE_SLOT",
        "not into the reserve of a target, b:6:40, 100 900, 1, NO_FREE_SLOT",
        "into the last slot above the reserve, b:5:40, 100 900, 1, b",
        "not to a target that takes longer than the request has waited, b:0:120, 100 900, 1, NOT_FASTER",
        "to such a target if the present one takes far longer, b:0:120 a:0:500, 100 900, 1, b",
        "not if the deadline passes before, b:0:40, 100 39, 1, DEADLINE",
    )
    fun `a request is hedged only where it helps and harms nobody`(
        case: String,
        targets: String,
        millis: String,
        tokens: Double,
        expected: String,
    ) {
        val candidates = targets.split(' ').map { candidate(it.split(':')) }
        val (waitedMillis, remainingMillis) = millis.split(' ').map { it.toLong() }
        val present = candidates.firstOrNull { it.id == tried }
        val request = UnansweredRequest(present, setOf(tried), waitedMillis, remainingMillis)
        val budget = RetryBudget(ratio = 0.05, burst = 3.0, tokens = tokens)
        val decision =
            when (val made = decideHedge(request, candidates, budget, Random(1))) {
                is HedgeDecision.Send -> made.target.value
                is HedgeDecision.Withhold -> made.reason.name
            }
        expectThat(decision).describedAs(case).isEqualTo(expected)
    }

    /** Fields: id, running requests, latency in milliseconds. */
    private fun candidate(fields: List<String>) =
        CandidateTarget(TargetId(fields[0]), 8, fields[1].toInt(), true, true, fields[2].toLong())

    private companion object {
        private val tried = TargetId("a")
    }
}
