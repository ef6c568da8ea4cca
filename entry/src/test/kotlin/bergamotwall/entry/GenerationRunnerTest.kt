package bergamotwall.entry

import bergamotwall.drivers.EngineChunk
import bergamotwall.drivers.EngineDriver
import bergamotwall.drivers.EngineRequest
import bergamotwall.drivers.TargetError
import bergamotwall.model.RunOutcome
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

internal class GenerationRunnerTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "labels: one version | a:1 b:1 end | '' | a b, versions 1 | WHOLE",
            "labels: a swap of weights mid-stream names both versions | a:1 b:2 end | '' | a b, versions 1 2 | WHOLE",
            "labels: a version that appears twice is named once | a:2 b:1 c:2 end | '' | a b c, versions 2 1 | WHOLE",
            "own complete response: resumes on another engine after an interruption, both versions named " +
                "| a:1 break | b:2 end | a b, versions 1 2 | BROKEN WHOLE",
            "own complete response: refused before the start, then completed | refuse | a:3 end " +
                "| a, versions 3 | NOT_STARTED WHOLE",
            "own complete response: no result if every attempt is interrupted " +
                "| a:1 break | b:1 break | problem RAN | BROKEN BROKEN BROKEN BROKEN BROKEN BROKEN",
            "reported as not run only if not run: every attempt refused " +
                "| refuse | refuse | problem NOT_RUN | " +
                "NOT_STARTED NOT_STARTED NOT_STARTED NOT_STARTED NOT_STARTED NOT_STARTED",
            "reported as not run only if not run: unknown if interrupted before the first chunk " +
                "| break | break | problem UNKNOWN | BROKEN BROKEN BROKEN BROKEN BROKEN BROKEN",
            "a request rejected for its content is not retried | reject | a:1 end | problem NOT_RUN | NOT_STARTED",
        ],
    )
    fun `generations complete or fail with the right run state`(
        case: String,
        first: String,
        second: String,
        expected: String,
        outcomes: String,
    ): Unit =
        runBlocking {
            val engines = ScriptedEngines(*listOf(first, second).filter { it.isNotEmpty() }.toTypedArray())
            val permits = FakePermitSource(listOf("e1", "e2"))
            val node = entryNode("a", MemoryKeyValueStore(ManualClock()))
            val received = StringBuilder()
            val result = GenerationRunner(
                node,
                permits,
                engines,
                RetryBudgets()
            ).run(generationRequest(node)) { received.append(it.text) }
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
            result.fold({ expectThat(received.toString()).isEqualTo(it.text) }, { })
        }

    @ParameterizedTest
    @CsvSource("3, 10", "9, 10")
    fun `a resumed generation continues from the received text within its remaining tokens`(
        chunks: Int,
        maxTokens: Int,
    ): Unit =
        runBlocking {
            val engines = ScriptedEngines(List(chunks) { "x:1" }.joinToString(" ") + " break", "y:2 end")
            val node = entryNode("a", MemoryKeyValueStore(ManualClock()))
            GenerationRunner(
                node,
                FakePermitSource(listOf("e1", "e2")),
                engines,
                RetryBudgets()
            ).run(generationRequest(node, maxTokens)) { }
            expectThat(engines.requests[1].resumeFrom).isEqualTo("x".repeat(chunks))
            expectThat(engines.requests[1].maxTokens).isEqualTo(maxTokens - chunks)
        }

    @Test
    fun `a target is credited with the latency, tokens and versions of its own attempt only`(): Unit =
        runBlocking {
            val clock = ManualClock()
            val permits = FakePermitSource(listOf("e1", "e2"))
            val runs = ScriptedEngines("a:3 b:3 break", "c:2 end")
            val latenciesMillis = ArrayDeque(listOf(700L, 50L))
            val engines =
                object : EngineDriver by runs {
                    override suspend fun complete(
                        address: String,
                        request: EngineRequest,
                        onChunk: suspend (EngineChunk) -> Unit,
                    ): Result<Unit, TargetError> {
                        clock.advance(latenciesMillis.removeFirst())
                        return runs.complete(address, request, onChunk)
                    }
                }
            val node = entryNode("a", MemoryKeyValueStore(ManualClock()), clock = clock)
            GenerationRunner(node, permits, engines, RetryBudgets()).run(generationRequest(node)) { }
            val credited =
                permits.finished.map { run ->
                    val versions = run.versions.map { it.value }
                    "${run.target.value}: ${run.firstTokenMillis} ms, ${run.tokens} tokens, versions $versions"
                }
            expectThat(credited)
                .containsExactly("e1: 700 ms, 2 tokens, versions [3]", "e2: 50 ms, 1 tokens, versions [2]")
        }
}
