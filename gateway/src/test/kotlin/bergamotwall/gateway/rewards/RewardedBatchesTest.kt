package bergamotwall.gateway.rewards

import bergamotwall.gateway.batches.AppendOutcome
import bergamotwall.gateway.batches.BatchFixture
import bergamotwall.gateway.batches.BatchStore
import bergamotwall.gateway.batches.Batches
import bergamotwall.gateway.batches.EndOutcome
import bergamotwall.gateway.batches.ItemPhase
import bergamotwall.gateway.batches.OwnedBatch
import bergamotwall.gateway.batches.ReadOutcome
import bergamotwall.gateway.batches.ResultAppend
import bergamotwall.gateway.batches.StreamEvent
import bergamotwall.gateway.forwarding.CallerRequest
import bergamotwall.gateway.forwarding.ForwardOutcome
import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.model.ItemResult
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

/** Batches whose items have reward calls, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class RewardedBatchesTest {
    private val fixture = BatchFixture().also { it.rewarded = true }
    private val calls = ArrayList<CallerRequest>()

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "the owner dies with {0}: call sent {1}, result {2}")
    @CsvSource(
        "nothing stored, false, ''",
        "the text stored, true, text/new",
        // A score that was received but not stored is lost with the owner.
        "the text and the score stored, false, text/old",
    )
    fun `a new owner repeats only what is not stored`(
        stored: String,
        callSent: Boolean,
        result: String,
    ) = runTest(fixture.dispatcher) {
        answerCalls { scored("new") }
        fixture.storeBatch(owner = "former", incarnation = 1)
        val text = ItemResult(fixture.record.items[0].id, false, "text", listOf(WeightVersion(1)))
        if (stored != "nothing stored") append(ResultAppend(0, emptyList(), 0, listOf(text)))
        if ("score" in stored) append(ResultAppend(0, listOf(text.copy(score = "old"))))
        val batches = fixture.batches(this)
        batches.membersChanged()
        advanceTimeBy(2_000)
        expectThat(batches.ownedBatches.find(fixture.id)).isNotNull()
        expectThat(calls.isNotEmpty()).isEqualTo(callSent)
        expectThat(storedResults()).isEqualTo(listOf(result).filter { it.isNotEmpty() })
    }

    @Test
    fun `the call is sent once the text is stored, and the text is listed once its score is`() =
        runTest(fixture.dispatcher) {
            val answer = CompletableDeferred<ForwardOutcome>()
            answerCalls { answer.await() }
            val batches = submitted(fixture.batches(this))
            fixture.writesFail = true
            generate(batches)
            advanceTimeBy(2_000)
            expectThat(calls).isEmpty()
            fixture.writesFail = false
            advanceTimeBy(1_000)
            expectThat(calls).hasSize(1)
            expectThat(storedResults()).isEmpty()
            answer.complete(scored("s"))
            advanceTimeBy(1_000)
            expectThat(storedResults()).containsExactly("text/s")
        }

    @Test
    fun `readers are not sent to the key-value service while only texts are being stored`() =
        runTest(fixture.dispatcher) {
            answerCalls { scored("s") }
            val batches = submitted(fixture.batches(this))
            fixture.writesFail = true
            generate(batches)
            advanceTimeBy(1_000)
            val before = fixture.lists
            expectThat(batches.read(fixture.id, 0, 0)).isA<ReadOutcome.Page>()
            expectThat(fixture.lists).isEqualTo(before)
        }

    @ParameterizedTest(name = "{0}: {1}, {2} calls")
    @CsvSource(
        "scored, text/s, 1",
        "failed:1 scored, text/s, 2",
        // The route allows three attempts.
        "failed:1 failed:1 failed:1, errored, 3",
        "failed:3, errored, 1",
        "broken broken broken broken scored, text/s, 5",
        "not-run not-run not-run not-run not-run scored, text/s, 6",
        "failed:2 not-run timed-out failed:1, errored, 4",
        "unsigned scored, text/s, 2",
        "status-404 scored, text/s, 2",
        "throws scored, text/s, 2",
    )
    fun `a call is repeated until it is scored or has failed as often as its route allows`(
        answers: String,
        result: String,
        sent: Int,
    ) = runTest(fixture.dispatcher) {
        val remaining = ArrayDeque(answers.split(' '))
        answerCalls { answerOf(remaining.removeFirst()) }
        val batches = submitted(fixture.batches(this))
        generate(batches)
        advanceTimeBy(20_000)
        expectThat(storedResults()).containsExactly(result)
        expectThat(calls).hasSize(sent)
        expectThat(calls.map { it.id.value }.distinct()).containsExactly("call-1")
        expectThat(calls.map { "${it.method} ${it.path} ${it.headers}" }.distinct())
            .containsExactly("POST /score/1 ${listOf(Header("Host", "h"))}")
    }

    @ParameterizedTest(name = "routes missing for {0} ms")
    @CsvSource("300", "8000")
    fun `a call without a route waits for one`(missingMillis: Long) =
        runTest(fixture.dispatcher) {
            answerCalls { scored("s") }
            val batches = submitted(fixture.batches(this))
            fixture.setRoutes(listOf(fixture.route))
            generate(batches)
            advanceTimeBy(missingMillis)
            expectThat(calls).isEmpty()
            fixture.setRoutes(listOf(fixture.route, fixture.rewardRoute))
            batches.routesChanged()
            advanceTimeBy(1_000)
            expectThat(storedResults()).containsExactly("text/s")
        }

    @ParameterizedTest(name = "the batch is {0}")
    @CsvSource("ended", "released")
    fun `a batch that is no longer run has no calls`(how: String) =
        runTest(fixture.dispatcher) {
            var cancelled = false
            answerCalls {
                try {
                    awaitCancellation()
                } finally {
                    cancelled = true
                }
            }
            val batches = submitted(fixture.batches(this))
            generate(batches)
            advanceTimeBy(500)
            expectThat(calls).hasSize(1)
            if (how == "ended") expectThat(batches.end(fixture.id)).isA<EndOutcome.Ended>() else batches.release()
            runCurrent()
            expectThat(cancelled).isTrue()
            advanceTimeBy(20_000)
            expectThat(calls).hasSize(1)
        }

    @ParameterizedTest(name = "{0} ms after the batch was accepted, at most {1} ms")
    @CsvSource("0, 1000", "7000, 250", "9000, 1000")
    fun `a target may work on a call until the batch is due`(
        generatedAtMillis: Long,
        longestMillis: Long,
    ) = runTest(fixture.dispatcher) {
        answerCalls { scored("s") }
        val batches = submitted(fixture.batches(this))
        advanceTimeBy(generatedAtMillis)
        generate(batches)
        advanceTimeBy(1_000)
        expectThat(calls.single().deadlineAtMillis - calls.single().arrivedAtMillis).isEqualTo(longestMillis)
    }

    @Test
    fun `a text that is longer than a value of the key-value service allows is stored beside no other`() =
        runTest(fixture.dispatcher) {
            answerCalls { scored("s") }
            val batches = submitted(fixture.batches(this), items = 4)
            batches.ownedBatches.find(fixture.id)?.items?.values?.forEach { item ->
                item.append(StreamEvent(1, "x".repeat(300_000), emptyMap()), WeightVersion(1))
            }
            complete(batches)
            advanceTimeBy(5_000)
            expectThat(storedResults()).hasSize(4)
            val sizes =
                listOf("bergamotwall/batch-results/", "bergamotwall/batch-texts/").flatMap { prefix ->
                    fixture.memoryStore.list(prefix).get()?.entries.orEmpty().map { it.value.length }
                }
            expectThat(sizes.all { it < 1_048_576 / 4 * 3 }).isTrue()
        }

    private fun answerCalls(answer: suspend () -> ForwardOutcome) {
        fixture.forward = { request, _ ->
            calls += request
            answer()
        }
    }

    private suspend fun submitted(
        batches: Batches,
        items: Int = 1,
    ): Batches {
        batches.submit(fixture.record(fixture.id.value, items), fixture.route)
        return batches
    }

    /** Completes the text of all items, as runs at engines would. */
    private fun generate(batches: Batches) {
        owned(batches).items.values.forEach { it.append(StreamEvent(1, "text", emptyMap()), WeightVersion(1)) }
        complete(batches)
    }

    private fun complete(batches: Batches) {
        val batch = owned(batches)
        batch.items.values.filter { it.phase == ItemPhase.Generating }.forEach { batch.generated(it) }
        batches.ownedBatches.itemEnded(batch)
    }

    private fun owned(batches: Batches): OwnedBatch = checkNotNull(batches.ownedBatches.find(fixture.id))

    private suspend fun append(append: ResultAppend) {
        val store = BatchStore(fixture.memoryStore)
        val revision = checkNotNull(store.ownership(fixture.id).get()).revision
        expectThat(store.append(fixture.id, revision, append)).isEqualTo(AppendOutcome.APPENDED)
    }

    private suspend fun storedResults(): List<String> =
        BatchStore(fixture.memoryStore).results(fixture.id).get().orEmpty().map {
            if (it.failed) "errored" else "${it.text}/${it.score}"
        }

    private fun scored(signature: String) = ForwardOutcome.Completed(head(200, signature), ByteArray(0))

    private fun answerOf(answer: String): ForwardOutcome =
        when (val kind = answer.substringBefore(':')) {
            "scored" -> scored("s")
            "failed" -> ForwardOutcome.Completed(head(500, "s"), ByteArray(0), answer.substringAfter(':').toInt())
            "broken" -> ForwardOutcome.Failed("connection reset")
            "timed-out" -> ForwardOutcome.TimedOut("deadline")
            "not-run" -> ForwardOutcome.NotRun("full", 250)
            "unsigned" -> ForwardOutcome.Completed(head(200, null), ByteArray(0))
            "throws" -> error("unexpected")
            "status-404" -> ForwardOutcome.Completed(head(404, "s"), ByteArray(0))
            else -> error("no such answer: $kind")
        }

    private fun head(
        status: Int,
        signature: String?,
    ) = ResponsePart.Head(status, listOfNotNull(signature?.let { Header("signature", it) }))
}
