package bergamotwall.decisions.weights

import bergamotwall.model.ModelName
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

internal class LoadPlanTest {
    @ParameterizedTest(name = "versions {0}, named {1}, share {2}, usable {3}, new loads at most {4}: load {5}")
    @CsvSource(
        // The engines with the oldest versions go first, up to the share.
        "1 1 2 2, 3, 2, 4, 2, a b",
        "2 2 1 1, 3, 1, 3, 2, c",
        // The share already serves the version.
        "3 3 2 2, 3, 2, 4, 2, ''",
        // After an outage, more engines than the share, until enough are usable.
        "1 1 1 1, 5, 1, 3, 4, a b c",
        "5 1 1 1, 5, 1, 3, 4, b c",
        // No more new loads than the maximum.
        "1 1 1 1, 5, 2, 4, 1, a",
        "1 1 1 1, 5, 2, 4, 0, ''",
    )
    @Suppress("LongParameterList") // one parameter a column of the table
    fun `a version is loaded by the engines with the oldest versions`(
        versions: String,
        named: Long,
        share: Int,
        usable: Int,
        maxNewLoads: Int,
        expected: String,
    ) {
        val engines = versions.split(' ').mapIndexed { index, v -> engine('a' + index, v.toLong()) }
        val model = ModelRolloutState(ModelName("m"), WeightVersion(named), engines, emptySet(), share, usable)
        val planned = planLoads(listOf(model), emptySet(), maxNewLoads).joinToString(" ") { it.target.value }
        expectThat(planned).isEqualTo(expected)
    }

    @Test
    fun `the model with the smallest share of usable engines goes first, one load per engine at a time`() {
        val ahead = ModelRolloutState(ModelName("ahead"), WeightVersion(3), engines(2, 2, 1), emptySet(), 2, 3)
        val behind = ModelRolloutState(ModelName("behind"), WeightVersion(3), engines(1, 1, 1), emptySet(), 2, 3)
        val planned = planLoads(listOf(ahead, behind), setOf(TargetId("a")), 2)
        expectThat(planned).containsExactly(
            PlannedLoad(ModelName("behind"), TargetId("b")),
            PlannedLoad(ModelName("behind"), TargetId("c")),
        )
    }

    @Test
    fun `loads in progress count as done`() {
        val loading = setOf(TargetId("a"), TargetId("b"))
        val model = ModelRolloutState(ModelName("m"), WeightVersion(3), engines(1, 1, 2, 2), loading, 2, 4)
        expectThat(planLoads(listOf(model), loading, 2)).isEmpty()
    }

    private fun engines(vararg versions: Long): List<EngineVersion> =
        versions.mapIndexed { index, version -> engine('a' + index, version) }

    private fun engine(
        name: Char,
        version: Long,
    ) = EngineVersion(TargetId(name.toString()), WeightVersion(version))
}
