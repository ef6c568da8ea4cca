package bergamotwall.entry

import bergamotwall.model.RunOutcome
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.fold
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class GenerationRunnerTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "labels: one version | a:1 b:1 end | '' | a b, versions 1 | WHOLE",
            "labels: a swap in mid-stream names both | a:1 b:2 end | '' | a b, versions 1 2 | WHOLE",
            "labels: going back names each once | a:2 b:1 c:2 end | '' | a b c, versions 2 1 | WHOLE",
            "own whole answer: a break resumes elsewhere, both named | a:1 break | b:2 end " +
                "| a b, versions 1 2 | BROKEN WHOLE",
            "own whole answer: refused before the start, then whole | refuse | a:3 end " +
                "| a, versions 3 | NOT_STARTED WHOLE",
            "own whole answer: breaks for good are no answer | a:1 break | b:1 break | problem RAN | " +
                "BROKEN BROKEN BROKEN BROKEN BROKEN BROKEN",
            "not run is true: refused for good | refuse | refuse | problem NOT_RUN | " +
                "NOT_STARTED NOT_STARTED NOT_STARTED NOT_STARTED NOT_STARTED NOT_STARTED",
            "not run is true: broken before the first piece is unknown | break | break | problem UNKNOWN | " +
                "BROKEN BROKEN BROKEN BROKEN BROKEN BROKEN",
            "rejected content is not repeated | reject | a:1 end | problem NOT_RUN | NOT_STARTED",
        ],
    )
    fun `generations`(
        case: String,
        first: String,
        second: String,
        expected: String,
        outcomes: String,
    ): Unit =
        runBlocking {
            val engines = ScriptedEngines(*listOf(first, second).filter { it.isNotEmpty() }.toTypedArray())
            val permits = FakePermits(listOf("e1", "e2"))
            val node = entryNode("a", MemoryKeyValueStore(ManualClock()))
            val seen = StringBuilder()
            val result = GenerationRunner(
                node,
                permits,
                engines,
                Budgets()
            ).run(generationOrder(node)) { seen.append(it.text) }
            val text =
                result.fold(
                    { g ->
                        "${g.text.toList().joinToString(
                            " "
                        )}, versions ${g.versions.joinToString(" ") { it.value.toString() }}"
                    },
                    { "problem ${it.runState}" },
                )
            expectThat(text).describedAs(case).isEqualTo(expected)
            expectThat(
                permits.finished.map { it.outcome }
            ).isEqualTo(outcomes.split(' ').map { RunOutcome.valueOf(it) })
            result.fold({ expectThat(seen.toString()).isEqualTo(it.text) }, { })
        }

    @ParameterizedTest
    @CsvSource("3, 10", "9, 10")
    fun `a resumed generation goes on from what was seen and within its tokens`(
        pieces: Int,
        maxTokens: Int,
    ): Unit =
        runBlocking {
            val engines = ScriptedEngines(List(pieces) { "x:1" }.joinToString(" ") + " break", "y:2 end")
            val node = entryNode("a", MemoryKeyValueStore(ManualClock()))
            GenerationRunner(
                node,
                FakePermits(listOf("e1", "e2")),
                engines,
                Budgets()
            ).run(generationOrder(node, maxTokens)) { }
            expectThat(engines.requests[1].resumeFrom).isEqualTo("x".repeat(pieces))
            expectThat(engines.requests[1].maxTokens).isEqualTo(maxTokens - pieces)
        }
}
