package bergamotwall.gateway.batches

import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.ItemId
import bergamotwall.model.Jsons
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/**
 * Another build of the program has written records with fields that this one does not know, or in a form that it can't
 * read: the former survive, the latter are left alone.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class RecordsOfOtherBuildsTest {
    private val fixture = BatchFixture()

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest
    @ValueSource(strings = ["adopted", "ended by its owner", "ended in the service"])
    fun `a field that this build does not know survives when the batch is`(change: String) =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            if (change == "ended by its owner") {
                batches.submit(fixture.record, fixture.route)
            } else {
                fixture.storeBatch(owner = "former", incarnation = 1)
            }
            addField()
            when (change) {
                "adopted" -> adopt(batches)
                else -> expectThat(batches.end(fixture.id)).isA<EndOutcome.Ended>()
            }
            val stored = Jsons.wire.parseToJsonElement(recordText()).jsonObject
            expectThat(stored["added"]).isEqualTo(JsonPrimitive("kept"))
            expectThat(Jsons.wire.decodeFromString(BatchOwnership.serializer(), recordText()).ended)
                .isEqualTo(change != "adopted")
        }

    @ParameterizedTest
    @ValueSource(strings = ["items", "results", "ownership"])
    fun `a batch that can't be read is left alone, others are adopted`(part: String) =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.storeBatch(owner = "former", incarnation = 1)
            fixture.storeBatch(owner = "former", incarnation = 1, id = "readable")
            val ownership = checkNotNull(BatchStore(fixture.memoryStore).ownership(fixture.id).get()).ownership
            val key =
                when (part) {
                    "items" -> GatewayKeys.chunk(GatewayKeys.items(fixture.id, ownership.nonce), 0)
                    "results" -> GatewayKeys.chunk(GatewayKeys.results(fixture.id), 0)
                    else -> GatewayKeys.batch(fixture.id)
                }
            put(key, """{"of":"a newer build"}""")
            val before = recordText()
            adopt(batches)
            expectThat(recordText()).isEqualTo(before)
            expectThat(fixture.journal.find("batch/").filter { it.decision == "adopted" }).hasSize(1)
            val listsBefore = fixture.lists
            advance(10_000)
            expectThat(fixture.lists - listsBefore < 20).isTrue()
            val read = if (part == "items") batches.body(fixture.id, ItemId("b-1")) else batches.read(fixture.id, 0, 0)
            expectThat(read).isA<ReadOutcome.Unavailable>()
            expectThat(batches.read(BatchId("readable"), 0, 0)).isA<ReadOutcome.Page>()
        }

    private suspend fun TestScope.adopt(batches: Batches) {
        fixture.setMembers(batches)
        advance(10_000)
    }

    private suspend fun addField() {
        val fields = Jsons.wire.parseToJsonElement(recordText()).jsonObject
        put(GatewayKeys.batch(fixture.id), JsonObject(fields + ("added" to JsonPrimitive("kept"))).toString())
    }

    private suspend fun put(
        key: String,
        value: String,
    ) {
        fixture.memoryStore.commit(Transaction(emptyList(), listOf(Write.Put(key, value))))
    }

    private suspend fun recordText(): String =
        checkNotNull(fixture.memoryStore.get(GatewayKeys.batch(fixture.id)).get()).value

    private fun TestScope.advance(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }
}
