package bergamotwall.gateway.batches

import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.model.ItemId
import bergamotwall.model.ItemResult
import bergamotwall.model.Jsons
import bergamotwall.model.WeightVersion
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan

/** Results are stored and listed in values and pages that the key-value service and readers accept, in any script. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class LargeResultsTest {
    private val fixture = BatchFixture()

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "character {index}")
    @ValueSource(strings = ["a", "\"", "é", "語", "\uD83D\uDE00", "\u0001"])
    fun `the encoded size of a text is an upper bound and close`(text: String) {
        val result = ItemResult(ItemId("id"), false, text.repeat(1_000), listOf(WeightVersion(1)))
        val bytes = Jsons.wire.encodeToString(ItemResult.serializer(), result).toByteArray().size
        expectThat(encodedBytesOf(result)).isGreaterThanOrEqualTo(bytes)
        expectThat(encodedBytesOf(result)).isLessThan(bytes + 200)
    }

    @ParameterizedTest(name = "character {index}")
    @ValueSource(strings = ["a", "語", "\""])
    fun `all results of a batch that completes at once are listed`(char: String) =
        runTest(fixture.dispatcher) {
            fixture.maxValueBytes = VALUE_BYTES
            val batches = fixture.batches(this)
            fixture.registerEngine(batches, ITEMS)
            batches.submit(fixture.record("b", ITEMS), fixture.route)
            runCurrent()
            fixture.client.exchanges.toList().forEach { respond(it, "id: 1\ndata: ${char.repeat(ITEM_CHARS)}\n\n") }
            advance(10_000)
            var listed = 0
            while (listed < ITEMS) {
                val page = (batches.read(fixture.id, listed, 0) as ReadOutcome.Page).page
                val bytes = Jsons.wire.encodeToString(page.results).toByteArray().size
                expectThat(bytes).isLessThan(VALUE_BYTES)
                expectThat(page.results.size).isGreaterThanOrEqualTo(1)
                listed += page.results.size
            }
            expectThat(listed).isEqualTo(ITEMS)
        }

    @Test
    fun `a text without end is given up and started over`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.registerEngine(batches, 1)
            batches.submit(fixture.record("b", 1), fixture.route)
            runCurrent()
            val endless = fixture.client.exchanges.single()
            endless.respond(ResponsePart.Head(200, listOf(Header("signature", "engine"))))
            val data = "a".repeat(1_000)
            (1..2_000).forEach { endless.respond(ResponsePart.Body("id: $it\ndata: $data\n\n".toByteArray())) }
            advance(1_000)
            expectThat(endless.cancelled).isEqualTo(true)
            respond(fixture.client.exchanges.last(), "id: 1\ndata: short\n\n")
            advance(1_000)
            val page = (batches.read(fixture.id, 0, 0) as ReadOutcome.Page).page
            expectThat(page.results.single().text).isEqualTo("short")
        }

    private fun respond(
        exchange: ScriptedTargetClient.Exchange,
        events: String,
    ) {
        exchange.respond(ResponsePart.Head(200, listOf(Header("signature", "engine"))))
        exchange.respond(ResponsePart.Body(events.toByteArray()))
        exchange.respond(ResponsePart.End)
    }

    private fun TestScope.advance(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }

    private companion object {
        /** Largest value of the key-value service. */
        private const val VALUE_BYTES = 1_048_576
        private const val ITEMS = 40
        private const val ITEM_CHARS = 12_000
    }
}
