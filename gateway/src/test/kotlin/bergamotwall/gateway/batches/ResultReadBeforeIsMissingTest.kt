package bergamotwall.gateway.batches

import bergamotwall.decisions.batches.OwnershipPolicy
import bergamotwall.model.BatchOwnership
import bergamotwall.model.NodeId
import bergamotwall.runtime.read
import bergamotwall.standins.fakes.CallFault
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

/** A result that a reader has seen in the key-value service is not missing at the owner of its batch. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ResultReadBeforeIsMissingTest {
    private val store = MemoryKeyValueStore(ManualClock())
    private val fixture = BatchFixture()

    @ParameterizedTest(name = "the batch ends meanwhile: {0}")
    @CsvSource("false", "true")
    fun `the owner sends readers to the service while an append is unresolved`(ends: Boolean) =
        fixture.use {
            runTest {
                val batch = ownedBatch()
                val appender = ResultAppender(backgroundScope, BatchStore(store), BatchSettings(), { _, _, _ -> }, { })
                batch.generated(batch.items.values.first())
                store.failWrites(CallFault.LOST_RESPONSE)
                appender.scheduleAppend(batch)
                advanceTimeBy(GATHER_MILLIS + 1)
                if (ends) batch.ended = true
                expectThat(BatchStore(store).results(batch.record.id).get()).isNotNull().hasSize(1)
                expectThat(batch.page(0, PAGE_CHARS)).isNull()
                advanceTimeBy(RETRY_MILLIS)
                if (ends) {
                    expectThat(batch.page(0, PAGE_CHARS)).isNull()
                } else {
                    expectThat(batch.page(0, PAGE_CHARS)?.results?.size).isEqualTo(1)
                }
            }
        }

    private suspend fun ownedBatch(): OwnedBatch {
        val record = fixture.record("b", 2)
        val ownership = BatchOwnership(NodeId("self"), 1, "n", 0, 2, 0, fixture.route.name, false)
        val requested = RetrySchedule(ManualClock(), Random(1), Long.MAX_VALUE)
        val created = BatchCreator(store, FixedRegistration(store), CHUNK_CHARS).create(record, ownership, requested)
        val clock = ManualClock()
        val policy = OwnershipPolicy(BatchSettings().endMillis)
        val known = KnownOwnership((created as CreateOutcome.Created).record, clock, policy, clock.read())
        return OwnedBatch(record, known, fixture.route, 0, emptyList())
    }

    private companion object {
        private const val GATHER_MILLIS = 250L
        private const val RETRY_MILLIS = 2_000L
        private const val PAGE_CHARS = 1_000
        private const val CHUNK_CHARS = 1_000
    }
}
