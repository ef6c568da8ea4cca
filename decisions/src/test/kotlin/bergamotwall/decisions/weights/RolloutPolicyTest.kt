package bergamotwall.decisions.weights

import bergamotwall.decisions.membership.replicas
import bergamotwall.model.WeightVersion
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class RolloutPolicyTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "staleness weight 100 swaps half at once | 50 | 100 | 16 | 0     | a:1:3 b:1:0 c:1:2 d:1:1 | b d",
            "staleness weight 0 swaps as few as the time allows | 50 | 0 | 16 | 0 | a:1:3 b:1:0 c:1:2 d:1:1 | b",
            "staleness weight 0 swaps more when time is short | 50 | 0 | 16 | 13500 | a:1:3 b:1:0 c:1:2 d:1:1 | b d",
            "swapping replicas count against the floor | 50 | 100 | 16 | 0 | a:1:0s b:1:0s c:1:0 d:1:0 | ''",
            "the floor holds for two replicas | 50 | 100 | 16 | 0 | a:1:0 b:1:1 | a",
            "no more replicas than may load at once | 0 | 100 | 2 | 0 | a:1:0 b:1:0 c:1:0 d:1:0 | a b",
            "unreachable replicas are skipped | 50 | 100 | 16 | 0 | a:1:0u b:1:0u c:1:0 d:1:0 | c",
            "replicas that failed too often are excluded | 50 | 100 | 16 | 0 | a:1:0f b:1:0 c:1:0 d:1:0 | b",
            "all replicas serve the version | 50 | 100 | 16 | 0 | a:2:0 b:2:0 | ''",
            "a newer version is not replaced | 50 | 100 | 16 | 0 | a:3:0 b:1:0 | b",
            "a single replica is swapped despite the floor | 50 | 100 | 16 | 0 | a:1:0 | a",
        ],
    )
    @Suppress("LongParameterList") // one parameter a column of the table
    fun `which replicas to swap now`(
        case: String,
        floorPercent: Int,
        stalenessWeightPercent: Int,
        maxLoads: Int,
        elapsedMillis: Long,
        replicas: String,
        expected: String,
    ) {
        val goal =
            RolloutGoal(
                version = WeightVersion(2),
                floorPercent = floorPercent,
                stalenessWeightPercent = stalenessWeightPercent,
                maxLoads = maxLoads,
                elapsedMillis = elapsedMillis,
                budgetMillis = 15_000,
                swapMillis = 1_000,
            )
        val order = decideRollout(goal, replicas(replicas)).order.joinToString(" ") { it.value }
        expectThat(order).describedAs(case).isEqualTo(expected)
    }
}
