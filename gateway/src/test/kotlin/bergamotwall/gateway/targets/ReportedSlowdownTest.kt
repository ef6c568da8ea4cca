package bergamotwall.gateway.targets

import bergamotwall.model.DataCentre
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class ReportedSlowdownTest {
    private val target = Target(TargetId("t"), ServiceName("s"), "a:1", DataCentre("x"), 16, false)

    /** Guards against another estimate for targets that report three numbers. */
    @Test
    fun `without a fourth number the estimate is the moving average of durations`() {
        val load = TargetLoad()
        var averageMillis = 0L
        (1..50).forEach { run ->
            val millis = 20L + run * 37 % 90
            val nowMillis = run * 100L
            load.reported(ReportedLoad(1, 0, 4), nowMillis)
            load.latency.succeeded(nowMillis - millis, nowMillis)
            load.latency.generated(10, nowMillis - millis, nowMillis)
            averageMillis = if (averageMillis == 0L) millis else averageMillis + (millis - averageMillis) / 4
            val candidate = load.candidate(target, true, nowMillis)
            expectThat(candidate.latencyMillis).isEqualTo(averageMillis)
            expectThat(candidate.slowdown).isNull()
            expectThat(candidate.tokenMillis).isEqualTo(0.0)
        }
    }

    /** Guards against a slow moment that is taken for a slow target. */
    @Test
    fun `with a fourth number the estimate is the duration at the usual speed`() {
        val load = TargetLoad()
        load.reported(ReportedLoad(1, 0, 4, slowdownPercent = 400), 100)
        load.latency.succeeded(0, 100)
        val candidate = load.candidate(target, true, 100)
        expectThat(candidate.latencyMillis in 28L..35L).describedAs("${candidate.latencyMillis} ms").isTrue()
        expectThat(candidate.slowdown?.reported).isEqualTo(4.0)
    }

    @Test
    fun `a load report that cannot be read is logged once`() {
        val load = TargetLoad()
        expectThat(load.firstUnreadableLoad()).isTrue()
        expectThat(load.firstUnreadableLoad()).isFalse()
    }
}
