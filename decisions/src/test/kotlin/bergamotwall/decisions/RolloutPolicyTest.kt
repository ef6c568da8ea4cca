package bergamotwall.decisions

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
            "staleness first swaps half at once | 50 | 100 | 16 | 0     | a:1:3 b:1:0 c:1:2 d:1:1 | b d",
            "idle first swaps as few as the time allows | 50 | 0 | 16 | 0 | a:1:3 b:1:0 c:1:2 d:1:1 | b",
            "idle first hurries when time is short | 50 | 0 | 16 | 13500 | a:1:3 b:1:0 c:1:2 d:1:1 | b d",
            "the floor counts those that swap | 50 | 100 | 16 | 0 | a:1:0s b:1:0s c:1:0 d:1:0 | ''",
            "the floor holds for the last two | 50 | 100 | 16 | 0 | a:1:0 b:1:1 | a",
            "the weight store's limit holds | 0 | 100 | 2 | 0 | a:1:0 b:1:0 c:1:0 d:1:0 | a b",
            "the unreachable are left alone | 50 | 100 | 16 | 0 | a:1:0u b:1:0u c:1:0 d:1:0 | c",
            "those that failed too often are set aside | 50 | 100 | 16 | 0 | a:1:0f b:1:0 c:1:0 d:1:0 | b",
            "nothing is left to do | 50 | 100 | 16 | 0 | a:2:0 b:2:0 | ''",
            "a newer version is not taken back | 50 | 100 | 16 | 0 | a:3:0 b:1:0 | b",
            "a single replica is swapped all the same | 50 | 100 | 16 | 0 | a:1:0 | a",
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
