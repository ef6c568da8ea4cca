package bergamotwall.gateway.usage

import bergamotwall.standins.fakes.CallFault
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

/** Usage is reported wrongly, twice, late or never after a failure, or two leaders act at once. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class UsageReportingTest {
    /**
     * A failure that happens in the middle of a window, and its [end]. [late]: number of windows whose first report
     * may be late. [lost]: number of starts that may be missing, as a process had not pushed them when it was killed.
     */
    internal class Fault(
        private val name: String,
        val late: Int = 0,
        val lost: Int = 0,
        val end: suspend UsageFleet.() -> Unit = {},
        val begin: suspend UsageFleet.() -> Unit,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    fun `each window is reported once, exactly and in time`(fault: Fault) =
        runTest {
            val fleet = UsageFleet(this)
            fleet.start()
            delay(FAULT_AT_MILLIS)
            fault.begin(fleet)
            delay(FAULT_MILLIS)
            fault.end(fleet)
            delay(AFTER_MILLIS)
            val calls = fleet.api.arrived
            expectThat(calls.zipWithNext().filter { (a, b) -> b.fence < a.fence }).isEmpty()
            expectThat(calls.zipWithNext().filter { (a, b) -> b.holder != a.holder && b.atMillis - a.atMillis < PAUSE })
                .isEmpty()
            expectThat(
                calls.groupBy { it.fence }.filterValues { of -> of.map { it.holder }.toSet().size > 1 }
            ).isEmpty()
            val counts = calls.groupBy({ it.report.window }, { it.report.counts }).mapValues { it.value.toSet() }
            expectThat(counts.filterValues { it.size > 1 }).isEmpty()
            val expected = fleet.started.filterKeys { fleet.windows.dueMillis(it) < fleet.trueMillis() - SLACK }
            val missing = expected.map { (window, starts) -> missing(starts, counts[window]?.single()) }
            expectThat(missing.sum()).isLessThanOrEqualTo(fault.lost)
            val late = expected.keys.count { window ->
                val due = fleet.windows.dueMillis(window) - fleet.trueMillis() + testTime(this)
                calls.first { it.report.window == window }.atMillis > due
            }
            expectThat(late).isLessThanOrEqualTo(fault.late)
            expectThat(calls.size).isGreaterThan(0)
        }

    private fun testTime(scope: TestScope): Long = scope.testScheduler.currentTime

    /** Number of [starts] that were not [reported]; many if more were reported. */
    private fun missing(
        starts: Map<String, Int>,
        reported: Map<String, Int>?,
    ): Int =
        starts.keys.plus(reported.orEmpty().keys).sumOf { workspace ->
            val missing = (starts[workspace] ?: 0) - (reported?.get(workspace) ?: 0)
            if (missing < 0) TOO_MANY else missing
        }

    private companion object {
        private const val FAULT_AT_MILLIS = 62_500L
        private const val FAULT_MILLIS = 8_000L
        private const val AFTER_MILLIS = 60_000L
        private const val PAUSE = 3_000L
        private const val SETTINGS_WINDOW_MILLIS = 5_000L
        private const val SLACK = 1_000L
        private const val TOO_MANY = 1_000

        /** The process that leads then. */
        private lateinit var paused: UsageFleet.Node

        private fun api(
            mode: FakeUsageApi.Mode,
            late: Int = 0,
        ) = Fault("the API: $mode", late, end = { api.mode = FakeUsageApi.Mode.ACCEPT }) { api.mode = mode }

        @JvmStatic
        fun faults(): List<Fault> =
            listOf(
                Fault("none") {},
                Fault("the leader is killed", late = 1, lost = 1) { leader()?.kill() },
                Fault("another process is killed", lost = 1) { nodes.first { it != leader() }.kill() },
                Fault("the response of a write is lost") { store.failWrites(CallFault.LOST_RESPONSE) },
                Fault("writes fail") { store.failWrites(CallFault.UNREACHABLE, CallFault.UNREACHABLE) },
                Fault("the key-value service is down", late = 2, end = { store.down = false }) { store.down = true },
                Fault("a clock jumps") { nodes[2].clock.wallSkewMillis += 4_000 },
                Fault("the leader's clock jumps back") { leader()?.let { it.clock.wallSkewMillis -= 4_000 } },
                Fault("the leader can't be reached", end = { leader()?.let { peers.isolate(it.id.value, false) } }) {
                    leader()?.let { peers.isolate(it.id.value) }
                },
                // It is paused after it has begun a call and before it sends it, until another process leads.
                Fault("the leader is paused", late = 2, end = { paused.resume() }) {
                    paused = checkNotNull(leader())
                    paused.holdCalls()
                    delay(SETTINGS_WINDOW_MILLIS)
                    paused.pause()
                },
                api(FakeUsageApi.Mode.SLOW),
                api(FakeUsageApi.Mode.LIMIT, late = 1),
                api(FakeUsageApi.Mode.LOSE_RESPONSE),
                api(FakeUsageApi.Mode.SILENT, late = 3),
            )
    }
}
