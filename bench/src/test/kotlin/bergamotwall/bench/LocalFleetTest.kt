package bergamotwall.bench

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.reactive.awaitFirst
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

/** Tests a complete fleet in one process, over HTTP. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class LocalFleetTest {
    private lateinit var fleet: LocalFleet
    private val client = CompletionClient("app-key")

    @BeforeAll
    fun start() {
        val engine = benchEngine.copy(tokenMillis = 1.0, tailSigma = 0.0, medianTokens = 200)
        fleet = LocalFleet(FleetShape(workloadMixes.first().intent, engines = 2, entries = 2, engine = engine))
    }

    @AfterAll
    fun stop(): Unit = fleet.close()

    @Test
    fun `callers that disconnect mid-stream are not counted as target failures`() {
        val entry = fleet.entries.first()
        repeat(6) { i ->
            runBlocking(Dispatchers.Default) {
                val response = client.stream(entry, client.completionBody("model", "abandoned $i", 200, stream = true))
                response.split().body().awaitFirst()
                response.abort()
            }
        }
        val status = client.complete(entry, "model", "afterwards", 5)
        expectThat(status).isEqualTo(HttpStatus.OK)
        val metrics =
            fleet.entries.joinToString { WebClient.of().get("http://$it/metrics").aggregate().join().contentUtf8() }
        expectThat("reason=\"BROKEN\"" in metrics).isFalse()
    }

    @ParameterizedTest(name = "{0}: {3}")
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '~',
        value = [
            "not JSON | /v1/completions | app-key | 400 | hello",
            "missing field | /v1/completions | app-key | 400 | {\"model\": \"model\"}",
            "no choices | /v1/completions | app-key | 400 | {\"model\": \"model\", \"prompt\": \"p\", \"n\": 0}",
            "enough above n | /v1/completions | app-key | 400 | {\"model\": \"m\", \"prompt\": \"p\", \"enough\": 2}",
            "unknown model | /v1/completions | app-key | 404 | {\"model\": \"other\", \"prompt\": \"p\"}",
            "unknown key | /v1/completions | nobody | 401 | {\"model\": \"model\", \"prompt\": \"p\"}",
            "chat without messages | /v1/chat/completions | app-key | 400 | {\"model\": \"model\"}",
            "unknown service | /services/none/x | app-key | 404 | {}",
            "caller that is not a trainer | /v1/trainers/trainer-0/batches/1 | app-key | 401 | {\"groups\": []}",
            "another trainer's batch | /v1/trainers/trainer-0/batches/1 | trainer-1-key | 403 | {\"groups\": []}",
            "empty batch | /v1/trainers/trainer-0/batches/1 | trainer-0-key | 400 | {\"groups\": []}",
            "batch zero | /v1/trainers/trainer-0/batches/0 | trainer-0-key | 400 | {\"groups\": []}",
            "version not a number | /v1/trainers/trainer-0/versions | trainer-0-key | 400 | {\"version\": \"x\"}",
            "no such path | /v2/none | app-key | 404 | {}",
        ],
    )
    fun `invalid input gets a problem document that says the request did not run`(
        case: String,
        path: String,
        key: String,
        status: Int,
        body: String,
    ) {
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, "http://${fleet.entries.first()}$path")
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer $key")
                .build()
        val request = HttpRequest.of(headers, com.linecorp.armeria.common.HttpData.ofUtf8(body))
        val response = WebClient.of().execute(request).aggregate().join()
        expectThat(response.status().code()).describedAs(case).isEqualTo(status)
        expectThat(response.contentType().toString()).contains("problem+json")
        expectThat(response.contentUtf8()).contains("\"runState\":\"not-run\"")
    }
}
