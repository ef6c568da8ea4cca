package bergamotwall.decisions

import bergamotwall.model.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

internal class TargetChoiceTest {
    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
        "a slow one is left alone, a:0:true:true:200 b:3:true:true:40, '', b",
        "a full one is left alone, a:6:true:true:40 b:1:true:true:40, '', b",
        "the near one of two equals, a:0:false:true:40 b:0:true:true:40, '', b",
        "a far idle one before a near full one, a:0:false:true:40 b:6:true:true:40, '', a",
        "one that backs off is left alone, a:0:true:false:40 b:5:true:true:80, '', b",
        "one that backs off if no other is left, a:0:true:false:40, '', a",
        "none twice, a:0:true:true:40 b:5:true:true:80, a, b",
        "none if all were tried, a:0:true:true:40, a, ''",
    )
    fun `the target where a short request ends first`(
        case: String,
        targets: String,
        tried: String,
        expected: String,
    ) {
        val candidates = targets.split(' ').map { candidate(it.split(':')) }
        val excluded = if (tried.isEmpty()) emptySet() else setOf(TargetId(tried))
        repeat(20) { seed ->
            val chosen = chooseTarget(candidates, excluded, Random(seed))?.id?.value.orEmpty()
            expectThat(chosen).describedAs(case).isEqualTo(expected)
        }
    }

    /** Fields: id, running requests, whether it is near, whether it is open, latency in milliseconds. */
    private fun candidate(fields: List<String>) =
        CandidateTarget(
            TargetId(fields[0]),
            slots = 6,
            running = fields[1].toInt(),
            local = fields[2].toBoolean(),
            open = fields[3].toBoolean(),
            latencyMillis = fields[4].toLong(),
        )
}
