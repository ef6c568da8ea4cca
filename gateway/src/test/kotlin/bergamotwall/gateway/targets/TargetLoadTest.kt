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

    /** Load pattern: an engine loads weights for 0.9 s and refuses all requests meanwhile, sixteen wait for it. */
    @Test
    fun `an engine that refuses while it loads weights is used again soon after, and asked seldom until then`() {
        var waiting = 16
        var refusals = 0
        var nowMillis = 0L
        while (waiting > 0 && nowMillis < 10_000) {
            val candidate = load.candidate(target, true, nowMillis)
            val sent = if (candidate.open) minOf(waiting, candidate.free) else 0
            val loading = nowMillis < LOADED_MILLIS
            repeat(sent) { load.sent(nowMillis) }
            repeat(sent) {
                if (loading) load.refused(nowMillis) else load.answering()
                if (loading) load.ended()
            }
            if (loading) refusals += sent else waiting -= sent
            nowMillis += PUMP_MILLIS
        }
        expectThat(nowMillis).isLessThanOrEqualTo(LOADED_MILLIS + 400)
        expectThat(refusals).isLessThanOrEqualTo(16 + 8)
    }

    @ParameterizedTest(name = "{0} failures at once: open again after {1} ms")
    @CsvSource("1, 200", "16, 200")
    fun `requests that fail together count as one failure`(
        together: Int,
        millis: Long,
    ) {
        repeat(together) { load.sent(0) }
        repeat(together) { load.failed(0) }
        expectThat(open(millis - 1)).isFalse()
        expectThat(open(millis)).isTrue()
    }

    @Test
    fun `failures in a row close it for twice as long each, up to three seconds, until it answers`() {
        var nowMillis = 0L
        val closedMillis =
            (1..6).map {
                load.failed(nowMillis)
                val from = nowMillis
                while (!open(nowMillis)) nowMillis++
                nowMillis - from
            }
        expectThat(closedMillis).isEqualTo(listOf(200L, 400L, 800L, 1_600L, 3_000L, 3_000L))
        load.answering()
        load.failed(nowMillis)
        expectThat(open(nowMillis + 200)).isTrue()
    }

    @Test
    fun `a refusal does not open a target that failed`() {
        repeat(2) { load.failed(200L * it) }
        load.refused(250)
        expectThat(open(500)).isFalse()
    }

    private fun open(nowMillis: Long) = load.candidate(target, true, nowMillis).open

    private companion object {
        private const val LOADED_MILLIS = 900L
        private const val PUMP_MILLIS = 50L
        private val target =
            Target(TargetId("t"), ServiceName("s"), "a:1", DataCentre("x"), 16, false, emptyMap(), null)
    }
}
