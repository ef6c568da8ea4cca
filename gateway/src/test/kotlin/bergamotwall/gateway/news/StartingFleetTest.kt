package bergamotwall.gateway.news

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** Calls that a fleet makes to the key-value service. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class StartingFleetTest {
    /** Guards against a call of each follower for nearly each registration. */
    @Test
    fun `a large fleet that starts makes few calls once its processes know each other`() =
        runTest {
            val fleet = started(LARGE)
            expectThat(fleet.memberCounts.values.toSet()).isEqualTo(setOf(LARGE))
            val shared = fleet.calls - setOf(StartingFleet.ALONE, StartingFleet.LISTINGS)
            expectThat(shared.values.sum()).isLessThan(MAX_SHARED_CALLS)
        }

    /** Guards against calls that grow with the number of changes, and against targets that batches learn of late. */
    @ParameterizedTest(name = "{0} processes learn at once")
    @CsvSource("0, 40", "4, 70")
    fun `31 changes in a second`(
        urgent: Int,
        maxCalls: Int,
    ) = runTest {
        val fleet = started(LARGE, urgent)
        fleet.calls.clear()
        fleet.latestMillis.clear()
        repeat(CHANGES) {
            fleet.write("servers/t$it")
            advanceTimeBy(CHANGE_MILLIS)
        }
        advanceTimeBy(SETTLED_MILLIS)
        expectThat(fleet.calls["servers/"] ?: 0).isLessThan(maxCalls)
        expectThat(fleet.latestMillis.size).isEqualTo(LARGE)
        expectThat(fleet.latestMillis.values.max()).isLessThanOrEqualTo(LATE_MILLIS)
        val urgentLatest = fleet.latestMillis.filterKeys { it in fleet.urgent }.values.maxOrNull() ?: 0
        expectThat(urgentLatest).isLessThanOrEqualTo(AT_ONCE_MILLIS)
    }

    /** The numbers are those of the build before followers paused longer. */
    @Test
    fun `a small fleet makes the same calls as before`() =
        runTest {
            val expected = mapOf(StartingFleet.ALONE to SMALL_CALLS, StartingFleet.LISTINGS to SMALL * PREFIXES)
            expectThat(started(SMALL, urgent = 2).calls.toMap()).isEqualTo(expected)
        }

    private fun TestScope.started(
        size: Int,
        urgent: Int = 0,
    ): StartingFleet {
        val fleet = StartingFleet(this, size)
        repeat(urgent) { fleet.urgent += "p$it" }
        fleet.start()
        advanceTimeBy(STARTED_MILLIS)
        return fleet
    }

    private companion object {
        private const val LARGE = 85
        private const val SMALL = 39
        private const val PREFIXES = 3

        /** 620 of `live/`, 117 of `servers/` and 244 of `op/`. */
        private const val SMALL_CALLS = 981
        private const val STARTED_MILLIS = 10_000L

        /** 6 followers poll each of three prefixes about once a second; the rest is for the registrations. */
        private const val MAX_SHARED_CALLS = 300
        private const val CHANGES = 31
        private const val CHANGE_MILLIS = 32L
        private const val SETTLED_MILLIS = 1_000L

        /** A target that left gets requests for up to 2,000 ms, of which 1,400 are for calls that fail. */
        private const val LATE_MILLIS = 600L
        private const val AT_ONCE_MILLIS = 110L
    }
}
