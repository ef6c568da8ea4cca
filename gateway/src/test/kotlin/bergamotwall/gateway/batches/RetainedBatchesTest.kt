package bergamotwall.gateway.batches

import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.model.BatchId
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** A process that runs batches for a long time does not fill its memory with those that are done. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class RetainedBatchesTest {
    private val fixture = BatchFixture()

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "ended by its trainer: {0}")
    @ValueSource(booleans = [true, false])
    fun `batches that are done are released, and read from the service`(ends: Boolean) =
        runTest(fixture.dispatcher) {
            fixture.settings = BatchSettings(retainedChars = RETAINED_CHARS)
            val batches = fixture.batches(this)
            fixture.registerEngine(batches, 1)
            repeat(BATCHES) { index ->
                batches.submit(fixture.record("b$index", 1), fixture.route)
                runCurrent()
                respond(fixture.client.exchanges.last(), "text$index".padEnd(TEXT_CHARS, '.'))
                advance(1_000)
                if (ends) batches.end(BatchId("b$index"))
            }
            val held = (0 until BATCHES).count { batches.ownedBatches.find(BatchId("b$it")) != null }
            expectThat(held * TEXT_CHARS).isLessThan(2 * RETAINED_CHARS.toInt())
            // Released batches are not orphans.
            fixture.setMembers(batches)
            advance(10_000)
            expectThat(fixture.journal.find("batch/").count { it.decision == "adopted" }).isEqualTo(0)
            val texts = (0 until BATCHES).map { textOf(batches, BatchId("b$it")) }
            expectThat(texts).isEqualTo((0 until BATCHES).map { "text$it" })
        }

    private suspend fun textOf(
        batches: Batches,
        id: BatchId,
    ): String? = (batches.read(id, 0, 0) as? ReadOutcome.Page)?.page?.results?.single()?.text?.trimEnd('.')

    private fun respond(
        exchange: ScriptedTargetClient.Exchange,
        text: String,
    ) {
        exchange.respond(ResponsePart.Head(200, listOf(Header("signature", "engine"))))
        exchange.respond(ResponsePart.Body("id: 1\ndata: $text\n\n".toByteArray()))
        exchange.respond(ResponsePart.End)
    }

    private fun TestScope.advance(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }

    private companion object {
        private const val BATCHES = 30
        private const val TEXT_CHARS = 1_000
        private const val RETAINED_CHARS = 4_000L
    }
}
