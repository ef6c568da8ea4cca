package bergamotwall.gateway.forwarding

import bergamotwall.gateway.routes.RouteKind
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

/** Replays targets on VMs whose neighbours slow them down for a quarter of the time, beside lasting differences. */
internal class SlowdownReplayTest {
    /** Guards against requests that go to a VM which is slow at the moment and has said so. */
    @ParameterizedTest(name = "changes each {0} ms")
    @ValueSource(longs = [125, 250])
    fun `requests take less time where targets report their slowdown`(changeMillis: Long) =
        runTest(timeout = 5.minutes) {
            val with = replay(reportSlowdown = true, changeMillis)
            val without = replay(reportSlowdown = false, changeMillis)
            println("mean with the slowdown ${with.durations.average()} ms, without ${without.durations.average()} ms")
            println("p95 with the slowdown ${with.percentile(95)} ms, without ${without.percentile(95)} ms")
            expectThat(with.durations.average()).isLessThan(without.durations.average() * 0.97)
            expectThat(with.percentile(95)).isLessThan(without.percentile(95) * 95 / 100)
        }

    private suspend fun TestScope.replay(
        reportSlowdown: Boolean,
        changeMillis: Long,
    ): LoadReplay {
        val replay =
            LoadReplay(this, TARGETS, SLOTS, RouteKind.AT_MOST_ONCE, null) { clock ->
                val slowdown = { target: String, atMillis: Long -> slowdown(target, atMillis / changeMillis) }
                SimulatedTargets(clock, SLOTS, reportSlowdown, slowdown) { target, _ -> usualMillis(target) }
            }
        replay.run(perSecond = 300, seconds = 20)
        return replay
    }

    /** Lasting speeds of 0.7 to 1.7. */
    private fun usualMillis(target: String): Double = 20 * (0.7 + target.drop(1).toInt() / (TARGETS - 1.0))

    private fun slowdown(
        target: String,
        period: Long,
    ): Double {
        val random = Random(target.hashCode() * 7_919L + period)
        return if (random.nextInt(4) == 0) random.nextDouble(2.5, 4.0) else random.nextDouble(1.0, 1.5)
    }

    private companion object {
        private const val TARGETS = 8
        private const val SLOTS = 4
    }
}
