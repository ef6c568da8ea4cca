package bergamotwall.gateway.scaling

import bergamotwall.decisions.scaling.ScalingPool
import bergamotwall.model.DataCentre
import bergamotwall.standins.fakes.CallFault
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** After a failure, targets are ordered twice, too late or never, two leaders act at once, or calls are too many. */
internal class TargetScalingTest {
    /** A failure that begins just before a rise of the load, and its [end]. At most [calls] are needed. */
    internal class Fault(
        private val name: String,
        val calls: Int = 3,
        val end: suspend ScalingFleet.() -> Unit = {},
        val begin: suspend ScalingFleet.() -> Unit,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    fun `targets are ordered once the load needs them`(fault: Fault) =
        runTest {
            val fleet = ScalingFleet(this)
            fleet.start()
            delay(FAULT_AT_MILLIS)
            expectThat(fleet.api.arrived).isEmpty()
            fault.begin(fleet)
            fleet.load(30)
            delay(FAULT_MILLIS)
            fault.end(fleet)
            delay(AFTER_MILLIS)
            // 30 requests at 70 % of four slots a target; one target more if a request was at a process that is killed.
            expectThat(fleet.serving).isIn(10..12)
            val calls = fleet.api.arrived
            expectThat(calls.size).isLessThanOrEqualTo(fault.calls)
            expectThat(calls.map { it.order.desired }).all { isGreaterThan(2).isLessThanOrEqualTo(8) }
            expectThat(fleet.unstored).isEmpty()
            expectThat(calls.zipWithNext().filter { (a, b) -> b.fence < a.fence }).isEmpty()
            expectThat(calls.zipWithNext().filter { (a, b) -> b.holder != a.holder && b.atMillis - a.atMillis < PAUSE })
                .isEmpty()
            expectThat(
                calls.groupBy { it.fence }.filterValues { of -> of.map { it.holder }.toSet().size > 1 }
            ).isEmpty()
        }

    @Test
    fun `nothing is ordered without a need, and little is given up after a calm period`() =
        runTest {
            val fleet = ScalingFleet(this)
            fleet.start()
            fleet.load(8)
            delay(30_000)
            // A crashed target that the work does not need.
            fleet.targets[ScalingPool(DataCentre("a"), false)] = 1
            delay(CALM_MILLIS - 35_000)
            expectThat(fleet.api.arrived).isEmpty()
            delay(20 * CALM_MILLIS)
            // Three serve the work with the reserve, one more is kept, and none goes below one in a data centre.
            expectThat(fleet.serving).isEqualTo(4)
            expectThat(fleet.targets.values.toList()).all { isGreaterThanOrEqualTo(1) }
            expectThat(fleet.api.arrived.size).isEqualTo(1)
        }

    @Test
    fun `targets that the work needs are replaced, and reclaimed spot targets elsewhere`() =
        runTest {
            val fleet = ScalingFleet(this, ScalingFleet.TERMS.copy(spotPrice = 0.25))
            fleet.start()
            fleet.load(20)
            delay(20_000)
            // 20 requests need 6 targets, 8 with the reserve.
            expectThat(fleet.serving).isEqualTo(6)
            fleet.targets[ScalingPool(DataCentre("c"), false)] = 1
            delay(10_000)
            expectThat(fleet.serving).isEqualTo(8)
            val spot = fleet.targets.filter { it.key.spot && it.value > 0 }
            expectThat(spot.values.max()).isLessThanOrEqualTo(3)
            val lost = spot.keys.first()
            fleet.reclaimed += lost
            val before = fleet.api.arrived.size
            delay(8_000)
            val replacing = fleet.api.arrived.drop(before)
            expectThat(replacing.size).isGreaterThan(0)
            expectThat(replacing.filter { it.order.pool == lost }).isEmpty()
            expectThat(fleet.serving).isEqualTo(8)
        }

    @Test
    fun `a service without a need for more is not ordered again while its order is under way`() =
        runTest {
            val fleet = ScalingFleet(this, ScalingFleet.TERMS.copy(startupMillis = 20_000))
            fleet.start()
            delay(FAULT_AT_MILLIS)
            fleet.load(30)
            delay(15_000)
            expectThat(fleet.serving).isEqualTo(6)
            expectThat(fleet.api.arrived.size).isEqualTo(1)
            delay(60_000)
            expectThat(fleet.serving).isEqualTo(11)
            expectThat(fleet.api.arrived.size).isLessThan(3)
        }

    private companion object {
        private const val FAULT_AT_MILLIS = 20_000L
        private const val FAULT_MILLIS = 8_000L
        private const val AFTER_MILLIS = 50_000L
        private const val CALM_MILLIS = 90_000L
        private const val PAUSE = 3_000L

        /** The process that leads when the failure begins. */
        private lateinit var first: ScalingFleet.Node

        private fun api(
            mode: FakeScalingApi.Mode,
            calls: Int,
        ) = Fault("the API: $mode", calls, end = { api.mode = FakeScalingApi.Mode.ACCEPT }) { api.mode = mode }

        @JvmStatic
        fun faults(): List<Fault> =
            listOf(
                Fault("none", calls = 1) {},
                Fault("the leader is killed") { leader()?.kill() },
                Fault("the leader is killed after its order is stored", end = {}) {
                    first = checkNotNull(leader())
                    first.holdCalls()
                    load(30)
                    delay(4_000)
                    first.kill()
                },
                // It has begun a call, and goes on to send it when another process leads, too.
                Fault("the leader is paused", end = { first.resume() }) {
                    first = checkNotNull(leader())
                    first.holdCalls()
                    load(30)
                    delay(4_000)
                    first.pause()
                },
                Fault("another process has the lease's key", end = { vacate() }) { usurp("other") },
                Fault("the response of a write is lost", calls = 1) { store.failWrites(CallFault.LOST_RESPONSE) },
                Fault("writes fail", calls = 1) { store.failWrites(CallFault.UNREACHABLE, CallFault.UNREACHABLE) },
                Fault("the key-value service is down", end = { store.down = false }) { store.down = true },
                Fault("the leader can't be reached", end = { leader()?.let { peers.isolate(it.id.value, false) } }) {
                    leader()?.let { peers.isolate(it.id.value) }
                },
                Fault("no targets in the cheapest data centre", calls = 2) { api.exhausted = setOf(DataCentre("b")) },
                api(FakeScalingApi.Mode.SLOW, calls = 1),
                api(FakeScalingApi.Mode.LIMIT, calls = 10),
                api(FakeScalingApi.Mode.LOSE_RESPONSE, calls = 6),
                api(FakeScalingApi.Mode.SILENT, calls = 7),
            )
    }
}
