package bergamotwall.entry

import bergamotwall.decisions.admission.TailEstimator
import bergamotwall.model.GroupSpec
import bergamotwall.model.Problem
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

internal class GroupRunnerTest {
    /** A generation that ends at the same moment as a tick must not be lost, or the group would never end. */
    @ParameterizedTest(name = "generations of {0} ms")
    @ValueSource(longs = [1, 49, 50, 51, 100, 150, 1_000])
    fun `every completed generation counts, whenever it ends`(durationMillis: Long) =
        runTest(timeout = 20.seconds) {
            val node = entryNode("a", MemoryKeyValueStore(ManualClock()))
            val engines = VersionedEngines({ 1 }) { delay(durationMillis) }
            val groups =
                GroupRunner(node, GenerationRunner(node, FakePermitSource(listOf("e")), engines, RetryBudgets()))
            val listener = CountingListener()
            val spec = GroupSpec("p", n = 3, enough = 3, maxTokens = 5)
            val result = groups.run("g", spec, TailEstimator(), { generationRequest(node) }, listener)
            expectThat(result.isOk).isTrue()
            expectThat(listener.completed).isEqualTo(3)
        }

    private class CountingListener : GroupListener {
        var completed = 0

        override suspend fun completed(
            number: Int,
            generation: Generation,
        ): Boolean = true.also { completed++ }

        override suspend fun failed(
            number: Int,
            problem: Problem,
        ): Problem = problem
    }
}
