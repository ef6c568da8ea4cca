package bergamotwall.decisions.placement

import bergamotwall.model.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

internal class TargetChoiceTest {
    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
        "a slow target is not chosen, a:0:true:true:200 b:3:true:true:40, '', b",
        "a full target is not chosen, a:6:true:true:40 b:1:true:true:40, '', b",
        "the nearer of two equal targets, a:0:false:true:40 b:0:true:true:40, '', b",
        "a far idle target before a near full one, a:0:false:true:40 b:6:true:true:40, '', a",
        "a target that backs off is not chosen, a:0:true:false:40 b:5:true:true:80, '', b",
        "a target that backs off if there is no other, a:0:true:false:40, '', a",
        "no target twice, a:0:true:true:40 b:5:true:true:80, a, b",
        "no target if all were tried, a:0:true:true:40, a, ''",
    )
    fun `a short request goes to the target where it is expected to end first`(
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

    /** Fields: id, running requests, whether it is near, whether it may get work, latency in milliseconds. */
    private fun candidate(fields: List<String>) =
        CandidateTarget(
            TargetId(fields[0]),
            slots = 6,
            running = fields[1].toInt(),
            local = fields[2].toBoolean(),
            available = fields[3].toBoolean(),
            latencyMillis = fields[4].toLong(),
        )
}
