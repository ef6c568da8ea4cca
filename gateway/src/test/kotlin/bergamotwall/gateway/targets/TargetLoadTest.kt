package bergamotwall.gateway.targets

import bergamotwall.model.DataCentre
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

internal class TargetLoadTest {
    private val load = TargetLoad()

    /** An engine loads weights for 0.9 s and refuses all requests meanwhile, with sixteen requests waiting for it. */
    @Test
    fun `an engine that refuses while it loads weights is probed rarely and used again soon after the load`() {
        var waiting = 16
        var refusals = 0
        var nowMillis = 0L
        while (waiting > 0 && nowMillis < 10_000) {
            val candidate = load.candidate(target, true, nowMillis)
            val sent = if (candidate.available) minOf(waiting, candidate.free) else 0
            val loading = nowMillis < LOADED_MILLIS
            repeat(sent) { load.sent(nowMillis) }
            repeat(sent) {
                if (loading) load.refused(nowMillis) else load.responding()
                if (loading) load.ended()
            }
            if (loading) refusals += sent else waiting -= sent
            nowMillis += STEP_MILLIS
        }
        expectThat(nowMillis).isLessThanOrEqualTo(LOADED_MILLIS + 400)
        expectThat(refusals).isLessThanOrEqualTo(16 + 8)
    }

    @ParameterizedTest(name = "{0} failures at once: accepts requests again after {1} ms")
    @CsvSource("1, 200", "16, 200")
    fun `requests that fail at the same time count as one failure`(
        together: Int,
        millis: Long,
    ) {
        repeat(together) { load.sent(0) }
        repeat(together) { load.failed(0) }
        expectThat(accepts(millis - 1)).isFalse()
        expectThat(accepts(millis)).isTrue()
    }

    @Test
    fun `the backoff doubles with each consecutive failure, up to three seconds, and a response resets it`() {
        var nowMillis = 0L
        val backoffs =
            (1..6).map {
                load.failed(nowMillis)
                val from = nowMillis
                while (!accepts(nowMillis)) nowMillis++
                nowMillis - from
            }
        expectThat(backoffs).isEqualTo(listOf(200L, 400L, 800L, 1_600L, 3_000L, 3_000L))
        load.responding()
        load.failed(nowMillis)
        expectThat(accepts(nowMillis + 200)).isTrue()
    }

    @Test
    fun `a refusal does not end the backoff of a target that failed`() {
        repeat(2) { load.failed(200L * it) }
        load.refused(250)
        expectThat(accepts(500)).isFalse()
    }

    private fun accepts(nowMillis: Long) = load.candidate(target, true, nowMillis).available

    private companion object {
        private const val LOADED_MILLIS = 900L
        private const val STEP_MILLIS = 50L
        private val target =
            Target(TargetId("t"), ServiceName("s"), "a:1", DataCentre("x"), 16, false, emptyMap(), null)
    }
}
