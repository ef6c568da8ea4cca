package bergamotwall.gateway.batches

import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.model.DataCentre
import bergamotwall.model.ItemId
import bergamotwall.model.ItemResult
import bergamotwall.model.NodeId
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
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
import strikt.assertions.isTrue

/**
 * Guards against two processes that run one batch: its creator was paused until another process had adopted the batch,
 * and takes the record of that process for its own.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class TwoOwnersOfBatchTest {
    private val fixture = BatchFixture()
    private val otherOwner = GatewayMember(NodeId("other"), 2, DataCentre("x"), "other:1", ready = true)
    private val other = ItemResult(ItemId("b-1"), false, "text", listOf(WeightVersion(1)))

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(
        name = "response lost {0}, the creator is paused for {1} ms, meanwhile another process {2}: runs {3}"
    )
    @CsvSource(
        "true, 5000, adopts, false",
        "true, 5000, adopts and ends, false",
        "true, 0, adopts, false",
        "true, 5000, ends, false",
        "true, 5000, does nothing, true",
        "false, 5000, adopts, false",
        "false, 5000, adopts and ends, false",
        "false, 5000, ends, false",
        "false, 5000, does nothing, true",
    )
    fun `a creator runs a batch only if it still owns it`(
        lost: Boolean,
        pausedMillis: Long,
        meanwhile: String,
        runs: Boolean,
    ) = runTest(fixture.dispatcher) {
        // As for a large batch, there is time for another attempt after the pause.
        fixture.settings = BatchSettings(acceptMillis = 9_000, silenceMillis = LONG_RUN_MILLIS)
        val batches = fixture.batches(this)
        fixture.setMembers(batches, otherOwner)
        fixture.registerEngine(batches, slots = 2)
        onCreated {
            fixture.pausedMillis += pausedMillis
            fixture.responsesLost = lost
            changeOwnership(meanwhile)
        }
        expectThat(batches.submit(fixture.record("b", 2), fixture.route)).isA<SubmitOutcome.Accepted>()
        advance(IN_TOUCH_MILLIS)
        expectThat(fixture.client.exchanges).hasSize(if (runs) 2 else 0)
        if ("adopts" in meanwhile) expectThat(read(batches)).isEqualTo(listOf(other))
    }

    /** As a process of a build that takes the record of another process for its own. */
    @ParameterizedTest(name = "another process takes position 0, item {0}")
    @CsvSource("b-1", "b-2")
    fun `an owner whose position was taken lists all results`(item: String) =
        runTest(fixture.dispatcher) {
            fixture.settings = BatchSettings(silenceMillis = LONG_RUN_MILLIS)
            val batches = fixture.batches(this)
            fixture.registerEngine(batches, slots = 2)
            expectThat(batches.submit(fixture.record("b", 2), fixture.route)).isA<SubmitOutcome.Accepted>()
            runCurrent()
            append(other.copy(item = ItemId(item)))
            repeat(2) { endItem(it) }
            advance(IN_TOUCH_MILLIS)
            // Items whose results were not stored run again.
            (2 until fixture.client.exchanges.size).forEach { endItem(it) }
            advance(IN_TOUCH_MILLIS)
            expectThat(read(batches).map { it.item.value }.sorted()).isEqualTo(listOf("b-1", "b-2"))
            expectThat(BatchStore(fixture.memoryStore).results(fixture.id).get()).isEqualTo(read(batches))
        }

    @Test
    fun `a batch that another process has adopted is not taken back`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.setMembers(batches, otherOwner)
            fixture.registerEngine(batches, slots = 1)
            expectThat(batches.submit(fixture.record, fixture.route)).isA<SubmitOutcome.Accepted>()
            runCurrent()
            changeOwnership("adopts")
            // Each of these reads the ownership record of the other process.
            repeat(3) { advance(IN_TOUCH_MILLIS) }
            expectThat(fixture.client.exchanges.single().cancelled).isTrue()
            expectThat(read(batches)).isEqualTo(listOf(other))
        }

    /** Runs [block] when the record of the batch has been stored, before its creator learns of it. */
    private fun onCreated(block: suspend () -> Unit) {
        fixture.onCommitted = {
            if (BatchStore(fixture.memoryStore).ownership(fixture.id).get() != null) {
                fixture.onCommitted = { fixture.responsesLost = false }
                block()
            }
        }
    }

    private suspend fun changeOwnership(change: String) {
        val store = BatchStore(fixture.memoryStore)
        val before = checkNotNull(store.ownership(fixture.id).get())
        val adopts = "adopts" in change
        val owner = if (adopts) otherOwner.id else before.ownership.owner
        if (change == "does nothing") return
        store.replace(fixture.id, before, before.ownership.copy(owner = owner))
        if (adopts) append(other)
        if ("ends" !in change) return
        val adopted = checkNotNull(store.ownership(fixture.id).get())
        store.replace(fixture.id, adopted, adopted.ownership.copy(ended = true))
    }

    /** Appends [result] at position 0 under the current record. */
    private suspend fun append(result: ItemResult) {
        val store = BatchStore(fixture.memoryStore)
        val revision = checkNotNull(store.ownership(fixture.id).get()).revision
        expectThat(store.append(fixture.id, revision, ResultAppend(0, listOf(result))))
            .isEqualTo(AppendOutcome.APPENDED)
    }

    private fun endItem(index: Int) {
        val exchange = fixture.client.exchanges[index]
        exchange.respond(ResponsePart.Head(200, listOf(Header("signature", "engine"))))
        exchange.respond(ResponsePart.Body("id: 1\ndata: text\n\n".toByteArray()))
        exchange.respond(ResponsePart.End)
    }

    private suspend fun read(batches: Batches): List<ItemResult> =
        (batches.read(fixture.id, 0, 0) as ReadOutcome.Page).page.results

    private fun TestScope.advance(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }

    private companion object {
        private const val IN_TOUCH_MILLIS = 3_000L
        private const val LONG_RUN_MILLIS = 60_000L
    }
}
