package bergamotwall.decisions.placement

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.math.abs

internal class TargetSpeedTest {
    /** Guards against an old report that keeps a target from being chosen, or a generation that is judged by one. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "a new report counts almost fully for a short request, 400, 0, 10, 3.90",
        "a decay time later it counts a third, 400, 150, 10, 2.07",
        "after a second it counts no more, 400, 1000, 10, 1.0",
        "it counts little for a generation of five seconds, 400, 0, 5000, 1.09",
    )
    fun `the slowdown expected of a run decays with the age of the report and the length of the run`(
        case: String,
        percent: Int,
        ageMillis: Long,
        millis: Double,
        expected: Double,
    ) {
        val slowdown = Slowdown(percent / 100.0, ageMillis)
        expectThat(abs(slowdown.over(millis) - expected) < 0.01).describedAs("$case: ${slowdown.over(millis)}").isTrue()
    }

    /** Guards against a momentary slowdown that is learned as a lasting one: all runs have the same usual duration. */
    @Test
    fun `the usual duration does not depend on the slowdown that applied`() {
        var speed = TargetSpeed()
        var nowMillis = 0L
        repeat(40) { run ->
            val percent = 100 + run % 4 * 100
            val sentAtMillis = nowMillis
            nowMillis += 50L * percent / 100
            speed = speed.reported(percent, nowMillis).completed(sentAtMillis, nowMillis)
            nowMillis += 2_000
        }
        expectThat(speed.usualMillis in 45.0..60.0).describedAs("${speed.usualMillis} ms").isTrue()
    }

    @Test
    fun `a target that stops reporting a slowdown has none, and nothing is learned without reports`() {
        val speed = TargetSpeed().completed(0, 100).generated(10, 0, 100)
        expectThat(speed).isEqualTo(TargetSpeed())
        expectThat(TargetSpeed().reported(200, 0).reported(null, 1).slowdownAt(1)).isNull()
    }
}
