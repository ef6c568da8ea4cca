package bergamotwall.gateway.batches

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
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
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/**
 * Guards against an owner whose loss no other process notices: a write that makes a process the owner of a batch takes
 * effect after the registration of the process has ended.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class OwnerIsNotRegisteredTest {
    private val fixture = BatchFixture()
    private val former = GatewayMember(NodeId("former"), 1, DataCentre("x"), "former:1", ready = true)

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "the process notices the end of its registration {0}, begins another after {1} ms: {2}")
    @CsvSource(
        "true, -1, Refused",
        "false, -1, Refused",
        "true, 500, Accepted",
        "false, 500, Accepted",
    )
    fun `a process accepts batches only while it is registered`(
        notices: Boolean,
        againMillis: Long,
        expected: String,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        fixture.registration.end(notices)
        val submission = async { batches.submit(fixture.record, fixture.route) }
        if (againMillis >= 0) {
            advance(againMillis)
            fixture.registration.begin()
        }
        advance(ACCEPT_MILLIS)
        expectThat(submission.await()::class.simpleName).isEqualTo(expected)
        expectThat(owner()).isEqualTo(fixture.self.id.value.takeIf { expected == "Accepted" })
        if (!notices) expectThat(fixture.registration.declinedWrites).isGreaterThan(0)
    }

    @ParameterizedTest(name = "carried out after {0} ms, registration ends after {1} ms: stored {2}")
    @CsvSource("1500, 5000, true", "5500, 3500, false", "6000, 3500, false")
    fun `a creation that is carried out late stores a batch only while the process is registered`(
        lateMillis: Long,
        endMillis: Long,
        stored: Boolean,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        fixture.lateMillis = lateMillis
        val submission = async { batches.submit(fixture.record, fixture.route) }
        advance(endMillis)
        fixture.registration.end(notices = true)
        fixture.lateMillis = null
        advance(LATEST_WRITE_MILLIS)
        expectThat(owner()).isEqualTo(fixture.self.id.value.takeIf { stored })
        expectThat(submission.await()::class.simpleName).isEqualTo("Unknown")
    }

    @Test
    fun `an adoption that is carried out late does not take effect once the registration has ended`() =
        runTest(fixture.dispatcher) {
            adoptLate()
            fixture.registration.end(notices = true)
            advance(LATEST_WRITE_MILLIS)
            expectThat(owner()).isEqualTo("former")
        }

    /** The search ends before the write takes effect, as the former owner is registered again. */
    @Test
    fun `an adoption that is carried out late is followed by the runs of the items`() =
        runTest(fixture.dispatcher) {
            val batches = adoptLate()
            fixture.setMembers(batches, former)
            advance(LATEST_WRITE_MILLIS)
            expectThat(owner()).isEqualTo("self")
            expectThat(fixture.client.exchanges).hasSize(1)
        }

    @Test
    fun `a process that is not registered adopts nothing until it is`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.storeBatch(owner = "former", incarnation = 1)
            fixture.registration.end(notices = true)
            fixture.setMembers(batches)
            advance(LATEST_WRITE_MILLIS)
            expectThat(owner()).isEqualTo("former")
            fixture.registration.begin()
            advance(SEARCH_MILLIS)
            expectThat(owner()).isEqualTo("self")
        }

    /** Loses the owner of a batch; the write that adopts it gets no response, and is carried out later. */
    private suspend fun TestScope.adoptLate(): Batches {
        fixture.settings = BatchSettings(silenceMillis = LONG_RUN_MILLIS)
        val batches = fixture.batches(this)
        fixture.registerEngine(batches, slots = 1)
        fixture.storeBatch(owner = "former", incarnation = 1)
        fixture.setMembers(batches, former)
        advance(SEARCH_MILLIS)
        fixture.lateMillis = LATE_MILLIS
        fixture.setMembers(batches)
        advance(FIRST_ATTEMPT_MILLIS)
        fixture.lateMillis = null
        expectThat(owner()).isEqualTo("former")
        return batches
    }

    private suspend fun owner(): String? =
        BatchStore(fixture.memoryStore).ownership(fixture.id).get()?.ownership?.owner?.value

    private fun TestScope.advance(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }

    private companion object {
        private const val ACCEPT_MILLIS = 3_000L
        private const val SEARCH_MILLIS = 4_000L
        private const val FIRST_ATTEMPT_MILLIS = 900L
        private const val LONG_RUN_MILLIS = 60_000L
        private const val LATE_MILLIS = 4_000L
        private const val LATEST_WRITE_MILLIS = 10_000L
    }
}
