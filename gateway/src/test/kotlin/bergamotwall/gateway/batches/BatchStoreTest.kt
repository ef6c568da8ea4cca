package bergamotwall.gateway.batches

import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.model.ItemId
import bergamotwall.model.ItemResult
import bergamotwall.model.ItemSpec
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.WeightVersion
import bergamotwall.standins.fakes.CallFault
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.get
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.random.Random

internal class BatchStoreTest {
    private val clock = ManualClock()
    private val store = MemoryKeyValueStore(clock)
    private val batches = BatchStore(store)
    private val creator = BatchCreator(store, FixedRegistration(store), chunkChars = 10_000)
    private val id = BatchId("b")

    @ParameterizedTest(name = "fault {0}: {1}, exists {2}")
    @CsvSource(
        "NONE, Created, true",
        // The response is lost: reading the record back shows that this call created it.
        "LOST_RESPONSE, Created, true",
        "UNREACHABLE, Created, true",
    )
    fun `the outcome of a creation agrees with the stored state`(
        fault: CallFault,
        outcome: String,
        exists: Boolean,
    ) = runTest {
        store.failWrites(fault)
        expectThat(create("n1")::class.simpleName).isEqualTo(outcome)
        expectThat(batches.ownership(id).get() != null).isEqualTo(exists)
    }

    @Test
    fun `a creation that cannot have reached the service ends as NotCreated, one that may have ends as Unknown`() =
        runTest {
            store.down = true
            expectThat(create("n1", attempts = 1)).isA<CreateOutcome.NotCreated>()
            store.down = false
            store.failWrites(CallFault.LOST_RESPONSE)
            expectThat(create("n1", attempts = 1)).isA<CreateOutcome.Unknown>()
        }

    @Test
    fun `a batch of many chunks is stored completely although writes fail`() =
        runTest {
            val chunkedCreator = BatchCreator(store, FixedRegistration(store), chunkChars = 100)
            store.failWrites(CallFault.NONE, CallFault.UNREACHABLE, CallFault.NONE, CallFault.LOST_RESPONSE)
            val created = chunkedCreator.create(record, ownership("n1"), retriesFor(10_000)) as CreateOutcome.Created
            expectThat(batches.items(id, created.record.ownership).get()).isEqualTo(record)
        }

    @Test
    fun `of two creations of one batch the first one stores its items`() =
        runTest {
            create("n1")
            expectThat(create("n2", record = record.copy(step = 99))).isA<CreateOutcome.Existed>()
            val owned = checkNotNull(batches.ownership(id).get())
            expectThat(batches.items(id, owned.ownership).get()).isEqualTo(record)
        }

    @Test
    fun `an append whose response was lost succeeds when it is repeated`() =
        runTest {
            val owned = created()
            store.failWrites(CallFault.LOST_RESPONSE)
            expectThat(batches.append(id, owned.revision, append(0, "i1"))).isEqualTo(AppendOutcome.UNKNOWN)
            expectThat(batches.append(id, owned.revision, append(0, "i1"))).isEqualTo(AppendOutcome.APPENDED)
            expectThat(batches.results(id).get()).isEqualTo(results("i1"))
        }

    @Test
    fun `an owner whose ownership record was changed cannot append`() =
        runTest {
            val old = created()
            batches.append(id, old.revision, append(0, "i1"))
            batches.replace(id, old, old.ownership.copy(owner = NodeId("other")))
            expectThat(batches.append(id, old.revision, append(1, "i2"))).isEqualTo(AppendOutcome.FENCED)
            expectThat(batches.results(id).get().orEmpty().map { it.item.value }).containsExactly("i1")
        }

    @Test
    fun `results at a position are never replaced`() =
        runTest {
            val owned = created()
            batches.append(id, owned.revision, append(0, "i1"))
            expectThat(batches.append(id, owned.revision, append(0, "i2"))).isEqualTo(AppendOutcome.FENCED)
        }

    @Test
    fun `of two processes that replace the same ownership record one succeeds`() =
        runTest {
            val owned = created()
            val first = batches.replace(id, owned, owned.ownership.copy(owner = NodeId("x"))).get()
            batches.replace(id, owned, owned.ownership.copy(owner = NodeId("y")))
            expectThat(first).isA<bergamotwall.drivers.TransactionOutcome.Committed>()
            expectThat(batches.ownership(id).get()?.ownership?.owner).isEqualTo(NodeId("x"))
        }

    @Test
    fun `a batch that was never submitted does not exist`() =
        runTest { expectThat(batches.ownership(BatchId("none")).get()).isNull() }

    private suspend fun created(): OwnershipRecord = (create("n1") as CreateOutcome.Created).record

    private suspend fun create(
        nonce: String,
        record: BatchRecord = this.record,
        attempts: Int = 4,
    ): CreateOutcome {
        return creator.create(record, ownership(nonce), retriesFor(if (attempts == 1) 0 else 10_000))
    }

    private fun ownership(nonce: String) = BatchOwnership(NodeId("a"), 1, nonce, 0, record.items.size, 0, "r")

    private fun retriesFor(millis: Long) = RetrySchedule(clock, Random(1), clock.monotonicMillis() + millis)

    private val record =
        BatchRecord(
            id = id,
            host = "h",
            path = "/p/",
            model = ModelName("m"),
            step = 1,
            minVersion = WeightVersion(1),
            desiredGroups = 1,
            items = (1..20).map { ItemSpec(ItemId("i$it"), "g", "/p/$it", emptyList(), "AAAA", 10) },
        )

    private fun append(
        position: Int,
        item: String,
    ) = ResultAppend(position, results(item))

    private fun results(item: String) = listOf(ItemResult(ItemId(item), false, "text", listOf(WeightVersion(1))))
}
