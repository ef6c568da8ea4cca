package bergamotwall.gateway.batches

import bergamotwall.model.BatchId
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull

/** Guards against the runs of a batch that was ended before a late write stored it. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class EndedBeforeStoredTest {
    private val fixture = BatchFixture()

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "creation carried out after {0} ms, ended after {1} ms: {2}")
    @CsvSource(
        // Another attempt of the creation comes after the end.
        "6000, 100, Refused",
        "6000, 3200, Unknown",
        "9000, 5000, Unknown",
    )
    fun `a batch that was ended before it was stored does not run`(
        lateMillis: Long,
        endMillis: Long,
        submission: String,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        fixture.registerEngine(batches, slots = 1)
        fixture.lateMillis = lateMillis
        val submitted = async { batches.submit(fixture.record, fixture.route) }
        advance(endMillis)
        fixture.lateMillis = null
        expectThat(batches.end(fixture.id)).isEqualTo(EndOutcome.Absent)
        advance(LATEST_WRITE_MILLIS)
        expectThat(submitted.await()::class.simpleName).isEqualTo(submission)
        expectThat(fixture.client.exchanges).hasSize(0)
        expectThat(batches.read(fixture.id, 0, 0)).isEqualTo(ReadOutcome.Absent)
        expectThat(batches.ownership(fixture.id).get()).isNull()
    }

    @Test
    fun `a batch that was ended before it was stored is refused`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            repeat(2) { expectThat(batches.end(fixture.id)).isEqualTo(EndOutcome.Absent) }
            expectThat(batches.submit(fixture.record, fixture.route)).isA<SubmitOutcome.Refused>()
        }

    @ParameterizedTest(name = "{0} ends a second of ids that callers make up")
    @CsvSource("10", "100")
    fun `ends of batches that do not exist take few calls and leave nothing`(perSecond: Int) =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            val ids = (1..perSecond * SECONDS).map { BatchId("made-up-$it") }
            val ends =
                ids.map { id ->
                    advance(MILLIS_PER_SECOND / perSecond)
                    async { batches.end(id) }
                }
            advance(LATEST_WRITE_MILLIS)
            ends.forEach { it.await() }
            expectThat(fixture.writes).isLessThan(CALLS_PER_SECOND * (SECONDS + LATEST_WRITE_SECONDS))
            advance(FORGOTTEN_MILLIS)
            expectThat(BatchStore(fixture.memoryStore).ownerships().get()).isEqualTo(emptyMap())
        }

    private fun TestScope.advance(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L
        private const val SECONDS = 5
        private const val CALLS_PER_SECOND = 5
        private const val LATEST_WRITE_SECONDS = 10
        private const val LATEST_WRITE_MILLIS = LATEST_WRITE_SECONDS * MILLIS_PER_SECOND
        private const val FORGOTTEN_MILLIS = 700_000L
    }
}
