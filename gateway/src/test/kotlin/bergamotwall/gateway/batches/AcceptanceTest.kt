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
internal class AcceptanceTest {
    private val fixture = BatchFixture()

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "home answers {0}, the service is up {1}: {2}, owned here {3}")
    @CsvSource(
        "accepted, true, Accepted, false",
        "notTaken, true, Accepted, true",
        "unreachable, true, Accepted, true",
        "unknown, true, Accepted, true",
        "silent, true, Accepted, true",
        // Nobody can have accepted it.
        "notTaken, false, Refused, false",
        "unreachable, false, Refused, false",
        // The home may have, or may do so yet: "not run" would be untrue.
        "unknown, false, Unknown, false",
        "silent, false, Unknown, false",
    )
    fun `a batch is accepted at its home, else here, and a refusal is true`(
        home: String,
        up: Boolean,
        expected: String,
        here: Boolean,
    ) = runTest(fixture.dispatcher) {
        val elected = fixture.electedOverSelf()
        val batches = fixture.batches(this)
        fixture.know(batches, elected)
        answerOf(home)?.let { answer -> fixture.peers.connect(elected.peerAddress) { _, _ -> answer } }
        if (home == "silent") fixture.peers.silence(elected.peerAddress)
        fixture.writesFail = !up
        val outcome = batches.submit(fixture.record, fixture.route)
        expectThat(outcome::class.simpleName).isEqualTo(expected)
        val owner = BatchStore(fixture.memory).ownership(fixture.id).get()?.ownership?.owner
        if (here) expectThat(owner).isEqualTo(fixture.self.id) else expectThat(owner).isNull()
    }

    @ParameterizedTest(name = "knows the route {0}, ready {1}, items it has {2}: taken {3}")
    @CsvSource(
        "true, true, 0, true",
        "false, true, 0, false",
        "true, false, 0, false",
        "true, true, 400, false",
    )
    fun `a process takes a batch over only if it can run it`(
        routed: Boolean,
        ready: Boolean,
        items: Int,
        taken: Boolean,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        if (items > 0) batches.submit(fixture.record("busy", items), fixture.route)
        if (!routed) fixture.dropRoutes()
        fixture.self = fixture.self.copy(ready = ready)
        val answer = batches.answer(SubmitBatch(fixture.record))
        expectThat(answer).isEqualTo(if (taken) Done else NotOwner)
    }

    @Test
    fun `a batch whose caller went away during its creation is run`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.writeMillis = 200
            val submission = launch { batches.submit(fixture.record, fixture.route) }
            advanceTimeBy(100)
            submission.cancel()
            advanceTimeBy(1_000)
            expectThat(batches.answer(EndBatch(fixture.id))).isEqualTo(Done)
        }

    @Test
    fun `a batch whose creation was never confirmed is run if it stands`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.answersLost = true
            fixture.readsFail = true
            expectThat(batches.submit(fixture.record, fixture.route)).isA<SubmitOutcome.Unknown>()
            fixture.answersLost = false
            fixture.readsFail = false
            advanceTimeBy(5_000)
            expectThat(batches.answer(EndBatch(fixture.id))).isEqualTo(Done)
        }

    @Test
    fun `a process that leaves accepts nothing`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.self = fixture.self.copy(ready = false)
            expectThat(batches.submit(fixture.record, fixture.route)).isA<SubmitOutcome.Refused>()
        }

    private fun answerOf(home: String): PeerMessage? =
        when (home) {
            "accepted" -> Done
            "notTaken" -> NotOwner
            "unknown" -> PeerRefusal(Problem(ProblemKind.UNAVAILABLE, "no answer from the service"))
            else -> null
        }
}
