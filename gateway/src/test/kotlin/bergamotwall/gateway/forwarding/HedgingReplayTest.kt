package bergamotwall.gateway.forwarding

import bergamotwall.gateway.routes.RouteKind
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

internal class HedgingReplayTest {
    private val random = Random(3)

    /** Guards against callers that wait for one slow run although another target would have responded long ago. */
    @Test
    fun `few slow responses - the tail is shorter with hedging, within the budget`() =
        runTest(timeout = 5.minutes) {
            val with = replay(HedgeSettings(), PER_SECOND, fewSlow)
            val without = replay(null, PER_SECOND, fewSlow)
            report("few slow, with", with)
            report("few slow, without", without)
            expectThat(with.percentile(99)).isLessThan(without.percentile(99) / 2)
            expectThat(with.targets.extraSends).isLessThanOrEqualTo(allowed(with))
            expectThat(with.metrics.expose()).contains("hedges_total{outcome=\"won\"")
        }

    /** Guards against hedging that adds to an overload: more sends than the budget, or the last free slots. */
    @ParameterizedTest(name = "{0} requests a second, the half changes: {1}")
    @CsvSource("300, false", "500, false", "100, true", "300, true")
    fun `a slow half of the targets - hedging keeps to its budget and leaves slots to first sends`(
        perSecond: Int,
        changing: Boolean,
    ) = runTest(timeout = 5.minutes) {
        val work = if (changing) ::changingHalf else ::slowHalf
        val with = replay(HedgeSettings(), perSecond, work)
        val without = replay(null, perSecond, work, RouteKind.AT_MOST_ONCE)
        val unlimited = replay(HedgeSettings(maxExtraPercent = 100.0, burst = 1_000.0), perSecond, work)
        report("slow half $perSecond/s $changing, with", with)
        report("slow half $perSecond/s $changing, without", without)
        report("slow half $perSecond/s $changing, unlimited", unlimited)
        expectThat(with.targets.extraSends).isLessThanOrEqualTo(allowed(with))
        expectThat(with.targets.fewestFreeAtExtraSend).isGreaterThan(0)
        expectThat(with.percentile(50)).isLessThanOrEqualTo(without.percentile(50) * 105 / 100)
        if (changing) {
            // Otherwise the replay would not show what the budget is for.
            expectThat(unlimited.targets.extraSends).isGreaterThan(allowed(unlimited))
        } else {
            expectThat(with.targets.extraSends).isLessThan(with.targets.requests / 100)
        }
    }

    /** Guards against a second run of what must run once. */
    @ParameterizedTest(name = "{0}")
    @CsvSource("AT_MOST_ONCE, 0", "IDEMPOTENT, 1")
    fun `only requests that may be repeated are hedged`(
        kind: RouteKind,
        expected: Int,
    ) = runTest(timeout = 5.minutes) {
        val replay = replay(HedgeSettings(), PER_SECOND, fewSlow, kind)
        expectThat(minOf(1, replay.targets.extraSends)).isEqualTo(expected)
    }

    private suspend fun TestScope.replay(
        hedging: HedgeSettings?,
        perSecond: Int,
        workMillis: (String, Long) -> Double,
        kind: RouteKind = RouteKind.IDEMPOTENT,
    ): LoadReplay {
        val replay =
            LoadReplay(this, TARGETS, SLOTS, kind, hedging) { clock ->
                val startMillis = clock.monotonicMillis()
                SimulatedTargets(clock, SLOTS) { target, atMillis -> workMillis(target, atMillis - startMillis) }
            }
        replay.run(perSecond, seconds = 12)
        return replay
    }

    /** Each run takes 15 to 25 ms, but three in a hundred 400 ms, whatever the target. */
    private val fewSlow: (String, Long) -> Double =
        { _, _ -> if (random.nextInt(100) < 3) SLOW_MILLIS else random.nextDouble(15.0, 25.0) }

    /** From the third second on, each run at half of the targets takes 400 ms. */
    private fun slowHalf(
        target: String,
        atMillis: Long,
    ): Double = if (atMillis > 3_000 && isEven(target)) SLOW_MILLIS else random.nextDouble(15.0, 25.0)

    /** The same, but every half second it is the other half, so that no estimate keeps requests away from it. */
    private fun changingHalf(
        target: String,
        atMillis: Long,
    ): Double {
        val slow = atMillis > 3_000 && isEven(target) == (atMillis / 500 % 2 == 0L)
        return if (slow) SLOW_MILLIS else random.nextDouble(15.0, 25.0)
    }

    private fun isEven(target: String): Boolean = target.drop(1).toInt() % 2 == 0

    private fun allowed(replay: LoadReplay): Int = replay.targets.requests * 5 / 100 + 3

    private fun report(
        name: String,
        replay: LoadReplay,
    ) {
        val targets = replay.targets
        val percentiles = listOf(50, 95, 99).map { replay.percentile(it) }
        println("$name: ${targets.requests} requests, ${targets.extraSends} extra, p50 p95 p99 $percentiles ms")
        replay.metrics.expose().lines().filter { it.contains("hedges") && !it.startsWith("#") }.forEach { println(it) }
    }

    private companion object {
        private const val TARGETS = 6
        private const val SLOTS = 4
        private const val PER_SECOND = 300
        private const val SLOW_MILLIS = 400.0
    }
}
