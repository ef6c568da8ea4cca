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

/** What came back for one call; [answer] is null if the connection broke or time ran out. */
internal class Reply(val answer: AggregatedHttpResponse?, val failure: String) {
    /** The problem that the answer carries, or null. */
    val problem: ProblemDocument? by lazy { answer?.takeIf { !it.status().isSuccess }?.let { read(it.contentUtf8()) } }

    private fun read(text: String): ProblemDocument? =
        try {
            Jsons.wire.decodeFromString(ProblemDocument.serializer(), text)
        } catch (e: SerializationException) {
            null.also { org.tinylog.Logger.debug("no problem document: {}", e.message) }
        }
}

/** Sends calls as a caller would; never throws for a failure of the other side. */
internal class Calls(private val bearer: String) {
    private val factory = ClientFactory.builder().connectTimeoutMillis(CONNECT_MILLIS).build()
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
        key: String? = null,
    ): Reply {
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, url)
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer $bearer")
        key?.let { headers.set("idempotency-key", it) }
        val response = client.execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body)))
        return try {
            Reply(response.aggregate().orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).await(), "")
        } catch (e: CancellationException) {
            throw e
        } catch (
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            response.abort()
            Reply(null, e.toString())
        }
    }

    private companion object {
        private const val CONNECT_MILLIS = 1_000L
    }
}
