package bergamotwall.standins

import bergamotwall.model.Jsons
import bergamotwall.model.ProblemDocument
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import kotlinx.serialization.SerializationException
import java.util.concurrent.TimeUnit

/** Result of one call; [response] is null if the connection failed or time ran out, and [failure] says why. */
internal class CallResult(val response: AggregatedHttpResponse?, val failure: String) {
    /** The problem document of an error response, or null. */
    val problem: ProblemDocument? by lazy {
        response?.takeIf { !it.status().isSuccess }?.let { parse(it.contentUtf8()) }
    }

    private fun parse(text: String): ProblemDocument? =
        try {
            Jsons.wire.decodeFromString(ProblemDocument.serializer(), text)
        } catch (e: SerializationException) {
            null.also { org.tinylog.Logger.debug("response is not a problem document: {}", e.message) }
        }
}

/** HTTP client of the caller and trainer stand-ins; reports failures of the other side as a [CallResult]. */
internal class CallerHttpClient(private val apiKey: String) {
    private val factory = ClientFactory.builder().connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS).build()
    private val client =
        WebClient
            .builder()
            .factory(factory)
            .responseTimeoutMillis(0)
            .maxResponseLength(0)
            .build()

    suspend fun post(
        url: String,
        body: String,
        timeoutMillis: Long,
        idempotencyKey: String? = null,
    ): CallResult {
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, url)
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer $apiKey")
        idempotencyKey?.let { headers.set("idempotency-key", it) }
        val response = client.execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body)))
        return try {
            CallResult(response.aggregate().orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).await(), "")
        } catch (e: CancellationException) {
            throw e
        } catch (
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            response.abort()
            CallResult(null, e.toString())
        }
    }

    private companion object {
        private const val CONNECT_TIMEOUT_MILLIS = 1_000L
    }
}
