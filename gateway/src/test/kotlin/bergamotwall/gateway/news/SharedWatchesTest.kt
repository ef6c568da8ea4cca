package bergamotwall.gateway.news

import bergamotwall.model.FollowChanges
import bergamotwall.model.FollowList
import bergamotwall.model.FollowedChanges
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.StoreFailure
import bergamotwall.model.StoreFailureKind
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** Whatever becomes of the followers, readers adopt changes in time, and none believes to know more than it does. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SharedWatchesTest {
    /** What happens to a follower between [FROM_MILLIS] and [UNTIL_MILLIS], or from then on. */
    enum class Fault(val apply: FollowFleet.(FollowFleet.Process) -> Unit) {
        SILENT({ it.fault = FollowFleet.silent }),
        OLDER_BUILD({ follower ->
            follower.fault = { _, _ -> PeerRefusal(Problem(ProblemKind.BAD_REQUEST, "not known to this build")) }
        }),
        PAUSED({ follower ->
            interrupt(follower.pathToService, FROM_MILLIS, UNTIL_MILLIS)
            follower.paused = FROM_MILLIS..UNTIL_MILLIS
        }),
        SUSPENDED({ follower ->
            interrupt(follower.pathToService, FROM_MILLIS, UNTIL_MILLIS)
            follower.paused = FROM_MILLIS..UNTIL_MILLIS
            follower.suspended = FROM_MILLIS..UNTIL_MILLIS
        }),
        CUT_OFF_AND_LATER_SILENT({ follower ->
            interrupt(follower.pathToService, FROM_MILLIS, UNTIL_MILLIS)
            follower.paused = FROM_MILLIS + CUT_OFF_MILLIS..UNTIL_MILLIS
        }),
        CUT_OFF_FROM_THE_SERVICE({ interrupt(it.pathToService, FROM_MILLIS, UNTIL_MILLIS) }),
        CUT_OFF_FROM_SOME_READERS({ follower ->
            readers.take(2).forEach { reader ->
                val path = "${reader.member.id.value} to ${follower.member.id.value}"
                interrupt(path, FROM_MILLIS, UNTIL_MILLIS)
            }
        }),
        WALL_CLOCK_SET_BACK({ it.wallOffsetMillis = -3_000 }),
        WALL_CLOCK_SET_FORWARD({ it.wallOffsetMillis = 3_000 }),
        CLAIMS_LATE_PROOFS({ it.lies { copy(ageMillis = 0, waitedMillis = 100_000) } }),
        CLAIMS_PROOFS_OF_THE_FUTURE({ it.lies { copy(ageMillis = -100_000) } }),
        REPORTS_OLDER_REVISIONS({ it.lies { copy(revision = 1) } }),
        REPORTS_HISTORY_GONE({ follower ->
            follower.fault = { message, respond ->
                val gone = StoreFailure(StoreFailureKind.HISTORY_COMPACTED, "gone", false)
                if (message is FollowList) respond() else gone
            }
        }),
        HISTORY_COMPACTED({ compactedRevision = Long.MAX_VALUE }),
    }

    @ParameterizedTest
    @EnumSource
    fun `one follower fails`(fault: Fault): Unit = check(fault, failing = 1)

    @ParameterizedTest
    @EnumSource
    fun `both followers fail`(fault: Fault): Unit = check(fault, failing = 2)

    /** Guards against a fleet that relies on a follower whose poll has just begun, or just ended. */
    private fun check(
        fault: Fault,
        failing: Int,
    ) = (0L until OFFSETS_MILLIS step OFFSET_STEP_MILLIS).forEach { offset ->
        runTest {
            val fleet = FollowFleet(this, SIZE)
            val writes = WRITES_MILLIS.map { it + offset }
            writes.forEach { fleet.write(it) }
            fleet.start()
            val beliefs = run(fleet, FROM_MILLIS)
            fleet.followers.take(failing).forEach { fault.apply(fleet, it) }
            if (fault == Fault.HISTORY_COMPACTED) {
                advanceTimeBy(COMPACTED_MILLIS)
                fleet.compactedRevision = 0
            }
            expectThat(beliefs + run(fleet, END_MILLIS)).describedAs("offset $offset").isEmpty()
            writes.forEach { writtenAt ->
                val revision = fleet.revisionAt(writtenAt)
                val late = fleet.readers.map { process ->
                    val adopted = process.adoptedAtMillis.filterKeys { it >= revision }.values.minOrNull()
                    (adopted ?: Long.MAX_VALUE) - writtenAt
                }
                expectThat(late.max()).describedAs("offset $offset, written at $writtenAt")
                    .isLessThanOrEqualTo(IN_FORCE_MILLIS)
            }
        }
    }

    /** Guards against proofs that grow old, and 404s that become 503s, while nothing fails. */
    @Test
    fun `without disruptions proofs stay young and only the followers poll the service`() =
        runTest {
            val fleet = FollowFleet(this, SIZE)
            WRITES_MILLIS.forEach { fleet.write(it) }
            fleet.start()
            run(fleet, FROM_MILLIS)
            val pollsBefore = fleet.readers.sumOf { it.polls }
            val oldest = ArrayList<Long>()
            run(fleet, END_MILLIS) { oldest += fleet.processes.maxOf { it.proofAgeMillis() ?: Long.MAX_VALUE } }
            expectThat(fleet.followers).hasSize(2)
            expectThat(fleet.readers.sumOf { it.polls }).isEqualTo(pollsBefore)
            expectThat(oldest.max()).isLessThan(MAX_AGE_MILLIS)
            val latest = fleet.readers.maxOf { it.adoptedAtMillis.getValue(fleet.revisionAt(END_MILLIS)) }
            expectThat(latest - WRITES_MILLIS.last()).isLessThan(HOP_MILLIS)
        }

    @Test
    fun `readers return to a follower that works again`() =
        runTest {
            val fleet = FollowFleet(this, SIZE)
            WRITES_MILLIS.forEach { fleet.write(it) }
            fleet.start()
            run(fleet, FROM_MILLIS)
            fleet.followers.forEach { Fault.CUT_OFF_FROM_THE_SERVICE.apply(fleet, it) }
            run(fleet, END_MILLIS)
            expectThat(fleet.readers.sumOf { it.polls }).isGreaterThan(fleet.readers.size * 2)
            run(fleet, RETURNED_MILLIS)
            val polls = fleet.readers.sumOf { it.polls }
            run(fleet, RETURNED_MILLIS * 2)
            expectThat(fleet.readers.sumOf { it.polls }).isEqualTo(polls)
        }

    /** Guards against listings and polls each time the service has dropped the history of a quiet prefix. */
    @Test
    fun `a quiet prefix is not listed again although the service drops old changes`() =
        runTest {
            val fleet = quietFleet()
            fleet.historyMillis = HISTORY_MILLIS
            run(fleet, FROM_MILLIS)
            val listings = fleet.processes.sumOf { it.listings }
            val polls = fleet.readers.sumOf { it.polls }
            expectThat(run(fleet, RETURNED_MILLIS)).isEmpty()
            expectThat(fleet.processes.sumOf { it.listings } - listings).describedAs("listings").isEqualTo(0)
            expectThat(fleet.readers.sumOf { it.polls } - polls).describedAs("polls of readers").isEqualTo(0)
        }

    /** Guards against readers that turn to the service because their follower had to list the prefix. */
    @Test
    fun `readers stay with a follower whose history is gone`() =
        runTest {
            val fleet = quietFleet()
            run(fleet, FROM_MILLIS)
            val listings = fleet.processes.sumOf { it.listings }
            val polls = fleet.readers.sumOf { it.polls }
            fleet.compactedRevision = fleet.serviceRevisionAt(FROM_MILLIS)
            expectThat(run(fleet, END_MILLIS)).isEmpty()
            expectThat(fleet.processes.sumOf { it.listings } - listings).describedAs("listings").isEqualTo(2)
            expectThat(fleet.readers.sumOf { it.polls } - polls).describedAs("polls of readers").isEqualTo(0)
            val latest = fleet.readers.maxOf { it.adoptedAtMillis.getValue(fleet.revisionAt(END_MILLIS)) }
            expectThat(latest - QUIET_UNTIL_MILLIS).isLessThan(HOP_MILLIS)
        }

    /** A fleet whose configuration is written at the start and at [QUIET_UNTIL_MILLIS] only, unlike other keys. */
    private fun TestScope.quietFleet(): FollowFleet {
        val fleet = FollowFleet(this, SIZE)
        fleet.write(0)
        (OTHER_WRITES_MILLIS..RETURNED_MILLIS step OTHER_WRITES_MILLIS).forEach {
            if (it == QUIET_UNTIL_MILLIS) fleet.write(it) else fleet.writeElsewhere(it)
        }
        fleet.start()
        return fleet
    }

    @Test
    fun `a small fleet watches the service as before`() =
        runTest {
            val fleet = FollowFleet(this, SIZE, sharedFromMembers = SIZE + 1)
            fleet.start()
            run(fleet, FROM_MILLIS)
            expectThat(fleet.processes.map { it.role }.distinct()).isEqualTo(listOf(WatchRole.Alone))
            expectThat(fleet.processes.minOf { it.polls }).isGreaterThan(5)
        }

    /** Advances the time to [untilMillis] and returns false beliefs; [each] is called in each step. */
    private fun TestScope.run(
        fleet: FollowFleet,
        untilMillis: Long,
        each: () -> Unit = {},
    ): List<String> {
        val wrong = ArrayList<String>()
        while (currentTime < untilMillis) {
            advanceTimeBy(STEP_MILLIS)
            wrong += fleet.processes.mapNotNull { it.falseBelief() }
            each()
        }
        return wrong
    }

    private companion object {
        private const val SIZE = 8
        private const val FROM_MILLIS = 10_000L
        private const val UNTIL_MILLIS = 16_000L
        private const val END_MILLIS = 30_000L
        private const val RETURNED_MILLIS = 120_000L
        private const val HISTORY_MILLIS = 20_000L
        private const val OTHER_WRITES_MILLIS = 500L
        private const val QUIET_UNTIL_MILLIS = 25_000L
        private const val STEP_MILLIS = 10L
        private const val OFFSETS_MILLIS = 1_600L
        private const val OFFSET_STEP_MILLIS = 230L
        private const val COMPACTED_MILLIS = 300L
        private const val CUT_OFF_MILLIS = 1_200L
        private const val HOP_MILLIS = 60L

        /** Below the age from which a process answers 503 instead of 404. */
        private const val MAX_AGE_MILLIS = 1_500L

        /** Within this time after its acknowledgement a change is in force. */
        private const val IN_FORCE_MILLIS = 2_000L
        private val WRITES_MILLIS = listOf(0L, 9_000L, 10_100L, 11_500L, 14_000L, 17_000L, 22_000L)

        /** Lies in its responses to requests for changes. */
        private fun FollowFleet.Process.lies(lie: FollowedChanges.() -> FollowedChanges) {
            fault = { message: PeerMessage, respond ->
                val response = respond()
                if (message is FollowChanges && response is FollowedChanges) response.lie() else response
            }
        }
    }
}
