package bergamotwall.gateway.batches

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.model.Alive
import bergamotwall.model.DataCentre
import bergamotwall.model.ItemId
import bergamotwall.model.NodeId
import bergamotwall.model.SubmitBatch
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/**
 * Guards against an accepted batch that no process runs: its record was stored late, after the other processes had
 * noticed the loss of the owner that it names.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class AcceptedBatchWithoutOwnerTest {
    private val fixture = BatchFixture()
    private val former = GatewayMember(NodeId("former"), 1, DataCentre("x"), "former:1", ready = true)

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "{0} of a batch whose owner was lost, large fleet {1}")
    @CsvSource(
        "a submission, false",
        "a transferred submission, false",
        "a read, false",
        "a read of a body, false",
        "a look at its ownership, false",
        "a submission, true",
        "a read, true",
    )
    fun `a batch that was stored after the loss of its owner is run`(
        call: String,
        largeFleet: Boolean,
    ) = runTest(fixture.dispatcher) {
        fixture.largeFleet = largeFleet
        fixture.settings = BatchSettings(silenceMillis = LONG_RUN_MILLIS)
        val batches = fixture.batches(this)
        fixture.registerEngine(batches, slots = 1)
        loseFormerOwner(batches)
        fixture.storeBatch(owner = "former", incarnation = 1)
        call(batches, call)
        advance(RECOVERY_MILLIS)
        expectThat(adoptions()).hasSize(1)
        expectThat(fixture.client.exchanges).hasSize(1)
    }

    @ParameterizedTest(name = "owner {0}, {1}, ended {2}: adopted {3}")
    @CsvSource(
        // An earlier incarnation of this process, whose creation was carried out late.
        "self, unregistered, false, true",
        "former, unregistered, false, true",
        "former, restarted, false, true",
        "former, not ready, false, true",
        // Its registration is about to become known.
        "former, registered soon, false, false",
        "former, registered, false, false",
        // It runs, although its registration ended.
        "former, responding, false, false",
        "former, unregistered, true, false",
    )
    fun `a batch that is submitted again is adopted if its owner is lost`(
        owner: String,
        state: String,
        ended: Boolean,
        adopted: Boolean,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        loseFormerOwner(batches)
        fixture.storeBatch(owner, incarnation = 1, ended)
        when (state) {
            "restarted" -> fixture.setMembers(batches, former.copy(incarnation = 2))
            "not ready" -> fixture.setMembers(batches, former.copy(ready = false))
            "registered" -> fixture.setMembers(batches, former)
            "responding" -> fixture.peers.connect("former:1") { _, _ -> Alive(1) }
        }
        call(batches, "a submission")
        advance(NEWS_MILLIS)
        if (state == "registered soon") fixture.setMembers(batches, former)
        advance(RECOVERY_MILLIS)
        expectThat(adoptions()).hasSize(if (adopted) 1 else 0)
        val stored = checkNotNull(BatchStore(fixture.memoryStore).ownership(fixture.id).get()).ownership
        expectThat(stored.owner.value).isEqualTo(if (adopted) "self" else owner)
    }

    /** Readers ask twice a second. */
    @ParameterizedTest(name = "the owner {0}: {1} searches")
    @CsvSource("is lost, 1", "is registered, 0")
    fun `repeated reads of a batch cause one search`(
        state: String,
        searches: Int,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        loseFormerOwner(batches)
        fixture.storeBatch(owner = "former", incarnation = 1)
        if (state == "is registered") fixture.setMembers(batches, former)
        val before = fixture.searches
        repeat(READS) {
            batches.read(fixture.id, 0, 0)
            advance(READ_PERIOD_MILLIS)
        }
        expectThat(fixture.searches - before).isEqualTo(searches)
    }

    private suspend fun TestScope.loseFormerOwner(batches: Batches) {
        fixture.setMembers(batches, former)
        advance(QUIET_MILLIS)
        fixture.setMembers(batches)
        advance(QUIET_MILLIS)
    }

    private suspend fun call(
        batches: Batches,
        call: String,
    ) {
        when (call) {
            "a read" -> batches.read(fixture.id, 0, 0)
            "a read of a body" -> batches.body(fixture.id, ItemId("b-1"))
            "a look at its ownership" -> batches.ownership(fixture.id)
            "a transferred submission" -> batches.handle(SubmitBatch(fixture.record))
            else -> expectThat(batches.submit(fixture.record, fixture.route)).isA<SubmitOutcome.Accepted>()
        }
    }

    private fun adoptions() = fixture.journal.find("batch/").filter { it.decision == "adopted" }

    private fun TestScope.advance(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }

    private companion object {
        private const val QUIET_MILLIS = 5_000L
        private const val NEWS_MILLIS = 400L

        /** The platform's bound for an item that no target runs while all is calm. */
        private const val RECOVERY_MILLIS = 5_000L
        private const val LONG_RUN_MILLIS = 60_000L
        private const val READS = 20
        private const val READ_PERIOD_MILLIS = 500L
    }
}
