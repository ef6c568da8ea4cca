package bergamotwall.gateway.batches

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** Guards against an end that only the memory of a process holds: another process would run the rest of the batch. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class EndIsNotStoredTest {
    private val fixture = BatchFixture()
    private val former = GatewayMember(NodeId("former"), 1, DataCentre("x"), "former:1", ready = true)

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "batch of {0}, the service {1} for {2} ms, the caller waits {3}")
    @CsvSource(
        "this process, refuses, 4500, true",
        "this process, refuses, 20000, true",
        "this process, loses responses, 4500, true",
        "this process, refuses, 4500, false",
        "another process, refuses, 4500, true",
        "another process, loses responses, 4500, true",
        "another process, refuses, 4500, false",
    )
    fun `an end that could not be stored in time is stored once the service responds`(
        owner: String,
        service: String,
        millis: Long,
        callerWaits: Boolean,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        ownedBy(owner, batches)
        setService(service)
        val end = async { batches.end(fixture.id) }
        advance(1)
        if (!callerWaits) end.cancel()
        advance(millis)
        if (callerWaits && service == "refuses") expectThat(end.await()).isA<EndOutcome.Unavailable>()
        setService("responds")
        advance(BACK_MILLIS)
        expectThat(storedEnd()).isTrue()
    }

    @Test
    fun `an end that another process has made void by adopting the batch is stored`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            ownedBy("this process", batches)
            fixture.writesFail = true
            launch { batches.end(fixture.id) }
            advance(BACK_MILLIS)
            val store = BatchStore(fixture.memoryStore)
            val before = checkNotNull(store.ownership(fixture.id).get())
            store.replace(fixture.id, before, before.ownership.copy(owner = former.id, incarnation = 1))
            fixture.writesFail = false
            advance(BACK_MILLIS)
            expectThat(storedEnd()).isTrue()
        }

    @Test
    fun `a service that does not respond is asked no more often the longer it lasts`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.setMembers(batches, former)
            fixture.storeBatch(former.id.value, incarnation = 1)
            fixture.readsFail = true
            launch { batches.end(fixture.id) }
            advance(LONG_MILLIS)
            val before = fixture.reads
            advance(LONG_MILLIS)
            expectThat(fixture.reads - before).isLessThan(before + 1)
            expectThat(storedEnd()).isFalse()
        }

    private suspend fun ownedBy(
        owner: String,
        batches: Batches,
    ) {
        if (owner == "this process") {
            expectThat(batches.submit(fixture.record, fixture.route)).isA<SubmitOutcome.Accepted>()
        } else {
            fixture.setMembers(batches, former)
            fixture.storeBatch(former.id.value, incarnation = 1)
        }
    }

    private fun setService(state: String) {
        fixture.writesFail = state == "refuses"
        fixture.readsFail = state != "responds"
        fixture.responsesLost = state == "loses responses"
    }

    private suspend fun storedEnd(): Boolean =
        checkNotNull(BatchStore(fixture.memoryStore).ownership(fixture.id).get()).ownership.ended

    private fun TestScope.advance(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }

    private companion object {
        private const val BACK_MILLIS = 3_000L
        private const val LONG_MILLIS = 30_000L
    }
}
