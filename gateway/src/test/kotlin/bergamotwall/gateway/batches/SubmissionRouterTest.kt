package bergamotwall.gateway.batches

import bergamotwall.model.Done
import bergamotwall.model.EndBatch
import bergamotwall.model.NotOwner
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.SubmitBatch
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

@OptIn(ExperimentalCoroutinesApi::class)
internal class SubmissionRouterTest {
    private val fixture = BatchFixture()

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "assigned owner {0}, key-value service up {1}: {2}, owned by this process {3}")
    @CsvSource(
        "accepted, true, Accepted, false",
        "declined, true, Accepted, true",
        "unreachable, true, Accepted, true",
        "unknown, true, Accepted, true",
        "silent, true, Accepted, true",
        // No process can have accepted the batch.
        "declined, false, Refused, false",
        "unreachable, false, Refused, false",
        // The assigned owner may have accepted it, or may still do so: a refusal would be false.
        "unknown, false, Unknown, false",
        "silent, false, Unknown, false",
    )
    fun `a batch is accepted by its assigned owner, else by this process, and refused only if neither can accept it`(
        behaviour: String,
        up: Boolean,
        expected: String,
        ownedHere: Boolean,
    ) = runTest(fixture.dispatcher) {
        val assigned = fixture.memberAssignedOverSelf()
        val batches = fixture.batches(this)
        fixture.setMembers(batches, assigned)
        responseOf(behaviour)?.let { response -> fixture.peers.connect(assigned.peerAddress) { _, _ -> response } }
        if (behaviour == "silent") fixture.peers.silence(assigned.peerAddress)
        fixture.writesFail = !up
        val outcome = batches.submit(fixture.record, fixture.route)
        expectThat(outcome::class.simpleName).isEqualTo(expected)
        val owner = BatchStore(fixture.memoryStore).ownership(fixture.id).get()?.ownership?.owner
        if (ownedHere) expectThat(owner).isEqualTo(fixture.self.id) else expectThat(owner).isNull()
    }

    @ParameterizedTest(name = "route known {0}, ready {1}, unfinished items {2}: accepted {3}")
    @CsvSource(
        "true, true, 0, true",
        "false, true, 0, false",
        "true, false, 0, false",
        "true, true, 400, false",
    )
    fun `a process accepts a transferred batch only if it can run it`(
        routed: Boolean,
        ready: Boolean,
        items: Int,
        accepted: Boolean,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        if (items > 0) batches.submit(fixture.record("busy", items), fixture.route)
        if (!routed) fixture.removeRoutes()
        fixture.self = fixture.self.copy(ready = ready)
        val response = batches.handle(SubmitBatch(fixture.record))
        expectThat(response).isEqualTo(if (accepted) Done else NotOwner)
    }

    @Test
    fun `a batch whose caller disconnects during its creation is run`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.writeMillis = 200
            val submission = launch { batches.submit(fixture.record, fixture.route) }
            advanceTimeBy(100)
            submission.cancel()
            advanceTimeBy(1_000)
            expectThat(batches.handle(EndBatch(fixture.id))).isEqualTo(Done)
        }

    @Test
    fun `a batch whose creation was not confirmed is run if it was stored`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.responsesLost = true
            fixture.readsFail = true
            expectThat(batches.submit(fixture.record, fixture.route)).isA<SubmitOutcome.Unknown>()
            fixture.responsesLost = false
            fixture.readsFail = false
            advanceTimeBy(5_000)
            expectThat(batches.handle(EndBatch(fixture.id))).isEqualTo(Done)
        }

    @Test
    fun `a process that is not ready refuses submissions`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.self = fixture.self.copy(ready = false)
            expectThat(batches.submit(fixture.record, fixture.route)).isA<SubmitOutcome.Refused>()
        }

    private fun responseOf(behaviour: String): PeerMessage? =
        when (behaviour) {
            "accepted" -> Done
            "declined" -> NotOwner
            "unknown" -> PeerRefusal(Problem(ProblemKind.UNAVAILABLE, "no response from the service"))
            else -> null
        }
}
