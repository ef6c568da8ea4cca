package bergamotwall.gateway.batches

import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.model.BatchPage
import bergamotwall.model.ItemId
import bergamotwall.model.ItemResult
import bergamotwall.model.NodeId
import bergamotwall.model.NotOwner
import bergamotwall.model.PeerMessage
import bergamotwall.model.ReadBatch
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/**
 * A process that owned a batch and was not told that another process took it over or ended it neither sends items of
 * the batch nor serves outdated results.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal open class FormerOwnerTest {
    protected open val largeFleet: Boolean get() = false
    private val fixture = BatchFixture()

    @BeforeEach
    fun setFleet() {
        fixture.largeFleet = largeFleet
    }

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "the owner {0} for {1} ms while another process {2} the batch")
    @CsvSource(
        "is paused, 3200, adopts and ends",
        "is paused, 3200, ends",
        "is paused, 3200, adopts",
        "is suspended, 3200, adopts and ends",
        "runs, 3000, adopts and ends",
        "runs, 3000, ends",
    )
    fun `a former owner sends no more items`(
        state: String,
        millis: Long,
        change: String,
    ) = runTest(fixture.dispatcher) {
        ownBatch()
        changeOwnership(adopts = "adopts" in change, ends = "ends" in change)
        elapse(state, millis)
        endFirstItem()
        advance(IN_TOUCH_MILLIS)
        expectThat(fixture.client.exchanges).hasSize(1)
    }

    @ParameterizedTest(name = "the owner {0}, the key-value service {1}")
    @CsvSource(
        "is paused, responds",
        "is paused, refuses",
        "is paused, is silent",
        "is suspended, responds",
        "runs, responds",
        "runs, refuses",
        "runs, is silent",
    )
    fun `an owner sends its items`(
        state: String,
        service: String,
    ) = runTest(fixture.dispatcher) {
        ownBatch()
        fixture.readsFail = service == "refuses"
        fixture.readMillis = if (service == "is silent") 60_000 else 0
        elapse(state, 3_200)
        endFirstItem()
        advance(1_000)
        expectThat(fixture.client.exchanges).hasSize(2)
    }

    @Test
    fun `the runs of a batch that another process has ended are cancelled`() =
        runTest(fixture.dispatcher) {
            ownBatch()
            changeOwnership(adopts = false, ends = true)
            advance(2_000)
            expectThat(fixture.client.exchanges.single().cancelled).isTrue()
        }

    @ParameterizedTest(name = "the owner {0}, asked by {1}: results {2}")
    @CsvSource(
        "is paused, a reader, 1",
        "is paused, a peer, -1",
        "is suspended, a reader, 1",
        "is suspended, a peer, -1",
        "runs, a reader, 1",
        "runs, a peer, -1",
    )
    fun `a former owner does not answer that there are no results`(
        state: String,
        reader: String,
        results: Int,
    ) = runTest(fixture.dispatcher) {
        val batches = ownBatch()
        val adopted = changeOwnership(adopts = true, ends = false)
        val stored = ItemResult(ItemId("b-1"), false, "text", listOf(WeightVersion(1)))
        BatchStore(fixture.memoryStore).append(fixture.id, adopted.revision, ResultAppend(0, listOf(stored)))
        elapse(state, 3_200)
        val found = if (reader == "a peer") resultsOf(batches.handle(ReadBatch(fixture.id, 0, 0))) else read(batches)
        expectThat(found).isEqualTo(results)
    }

    @Test
    fun `an owner that stores results makes no further calls`() =
        runTest(fixture.dispatcher) {
            val batches = ownBatch(items = 30, slots = 1)
            repeat(20) {
                advance(500)
                endItem(it)
            }
            expectThat(fixture.reads).isEqualTo(0)
            expectThat(read(batches)).isGreaterThan(15)
        }

    @Test
    fun `the service is not asked more often while it fails`() =
        runTest(fixture.dispatcher) {
            ownBatch()
            fixture.readsFail = true
            advance(20_000)
            expectThat(fixture.reads).isGreaterThan(10).isLessThan(25)
        }

    /** Guards against a call per second and batch in a large fleet. The runs in progress end no item. */
    @ParameterizedTest(name = "{0} items, one of them running")
    @CsvSource("1, 30, 13", "2, 30, 22")
    fun `the ownership record is read less often in a large fleet`(
        items: Int,
        readsBefore: Int,
        readsInLargeFleet: Int,
    ) = runTest(fixture.dispatcher) {
        fixture.settings = BatchSettings(silenceMillis = 60_000)
        ownBatch(items)
        advance(30_000)
        expectThat(fixture.reads).isIn(1..if (largeFleet) readsInLargeFleet else readsBefore)
        if (!largeFleet) expectThat(fixture.reads).isGreaterThan(readsBefore - 2)
    }

    private suspend fun TestScope.ownBatch(
        items: Int = 2,
        slots: Int = 1,
    ): Batches {
        val batches = fixture.batches(this)
        fixture.registerEngine(batches, slots)
        expectThat(batches.submit(fixture.record("b", items), fixture.route)).isA<SubmitOutcome.Accepted>()
        runCurrent()
        expectThat(fixture.client.exchanges).hasSize(slots)
        return batches
    }

    private suspend fun changeOwnership(
        adopts: Boolean,
        ends: Boolean,
    ): OwnershipRecord {
        val store = BatchStore(fixture.memoryStore)
        val before = checkNotNull(store.ownership(fixture.id).get())
        val owner = if (adopts) NodeId("other") else before.ownership.owner
        store.replace(fixture.id, before, before.ownership.copy(owner = owner, ended = ends))
        return checkNotNull(store.ownership(fixture.id).get())
    }

    private fun TestScope.elapse(
        state: String,
        millis: Long,
    ) {
        when (state) {
            "is paused" -> fixture.pausedMillis += millis
            "is suspended" -> fixture.suspendedMillis += millis
            else -> advance(millis)
        }
    }

    private fun endFirstItem(): Unit = endItem(0)

    private fun endItem(index: Int) {
        val exchange = fixture.client.exchanges[index]
        exchange.respond(ResponsePart.Head(200, listOf(Header("signature", "engine"))))
        exchange.respond(ResponsePart.Body("id: 1\ndata: text\n\n".toByteArray()))
        exchange.respond(ResponsePart.End)
    }

    private suspend fun read(batches: Batches): Int =
        (batches.read(fixture.id, 0, 0) as? ReadOutcome.Page)?.page?.results?.size ?: NO_PAGE

    private fun resultsOf(response: PeerMessage?): Int =
        if (response == NotOwner) NO_PAGE else (response as BatchPage).results.size

    private fun TestScope.advance(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }

    private companion object {
        /** A process counts as in touch again this long after a pause. */
        private const val IN_TOUCH_MILLIS = 3_000L
        private const val NO_PAGE = -1
    }
}
