package bergamotwall.decisions.weights

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Replays engines that load versions one after another from a weight store, in virtual time. */
internal class LoadConcurrencyTest {
    private class Load(val window: Long, val startMillis: Long, val endMillis: Long)

    private val concurrency = LoadConcurrency()
    private val random = Random(7)
    private val running = ArrayList<Load>()

    @ParameterizedTest(name = "{0} engines, store bears {1}: limit {2} to {3}")
    @CsvSource(
        "6, 2, 2, 3",
        "8, 2, 2, 3",
        "31, 9, 7, 12",
        "34, 10, 7, 13",
        "34, 3, 2, 5",
        "34, 100, 17, 17",
        "800, 200, 140, 280",
    )
    fun `the limit approaches what the weight store bears`(
        engines: Int,
        bears: Int,
        atLeast: Int,
        atMost: Int,
    ) {
        replay(engines, bears, loads = 40 * bears)
        expectThat(concurrency.limit(engines)).isGreaterThanOrEqualTo(atLeast).isLessThanOrEqualTo(atMost)
    }

    @ParameterizedTest(name = "{0} engines, store bears {1}: {2} loads within {3} ms")
    @CsvSource("34, 10, 33, 8000", "31, 9, 30, 8000", "800, 200, 800, 15000")
    fun `a version reaches the engines in time from the start`(
        engines: Int,
        bears: Int,
        loads: Int,
        withinMillis: Long,
    ) {
        expectThat(replay(engines, bears, loads)).isLessThanOrEqualTo(withinMillis)
    }

    @ParameterizedTest(name = "{0} engines, store bears {1}, then {2}: limit at most {3}")
    @CsvSource("34, 100, 4, 7", "34, 10, 3, 5", "800, 1000, 50, 85")
    fun `the limit falls when the weight store becomes slower`(
        engines: Int,
        bears: Int,
        bearsLater: Int,
        atMost: Int,
    ) {
        replay(engines, bears, loads = 50 * engines)
        replay(engines, bearsLater, loads = 10 * engines)
        expectThat(concurrency.limit(engines)).isLessThanOrEqualTo(atMost)
    }

    @ParameterizedTest(name = "{0} loads")
    @CsvSource("8", "200")
    fun `the limit does not grow while no load waits for it`(loads: Int) {
        repeat(loads) { concurrency.loadEnded(concurrency.currentWindow(), LOAD_MILLIS) }
        expectThat(concurrency.limit(34)).isEqualTo(2)
    }

    /** Runs [loads] loads, as many at once as the limit allows; returns how long they took. */
    private fun replay(
        engines: Int,
        bears: Int,
        loads: Int,
    ): Long {
        var nowMillis = 0L
        var started = 0
        while (started < loads || running.isNotEmpty()) {
            while (started < loads && running.size < concurrency.limit(engines)) {
                started++
                start(nowMillis, bears)
            }
            if (started < loads) concurrency.loadsWithheld()
            nowMillis = running.minOf { it.endMillis }
            running.filter { it.endMillis <= nowMillis }.forEach { load ->
                running -= load
                concurrency.loadEnded(load.window, load.endMillis - load.startMillis)
            }
        }
        return nowMillis
    }

    private fun start(
        nowMillis: Long,
        bears: Int,
    ) {
        val slowdown = maxOf(1.0, (running.size + 1.0) / bears)
        val tookMillis = (LOAD_MILLIS * slowdown).toLong() + random.nextLong(REGISTRATION_MILLIS)
        running += Load(concurrency.currentWindow(), nowMillis, nowMillis + tookMillis)
    }

    private companion object {
        private const val LOAD_MILLIS = 900L

        /** A load is noticed once the engine has registered its version. */
        private const val REGISTRATION_MILLIS = 300L
    }
}
