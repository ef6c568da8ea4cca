package bergamotwall.bench

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.util.concurrent.CompletableFuture

/** Completion calls as a caller with [key] sends them, to an entry or straight to an engine. */
internal class DirectCalls(private val key: String) {
    private val client = WebClient.builder().responseTimeoutMillis(0).maxResponseLength(0).build()

    /** Status of a whole completion. */
    fun complete(
        address: String,
        model: String,
        prompt: String,
        maxTokens: Int,
    ): HttpStatus =
        start(address, body(model, prompt, maxTokens, stream = false))
            .handle { answer, _ -> answer?.status() ?: HttpStatus.UNKNOWN }
            .join()

    /** Starts a call with [body]; completes with the whole answer. */
    fun start(
        address: String,
        body: String,
        deadlineMillis: Long? = null,
    ): CompletableFuture<AggregatedHttpResponse> = open(address, body, deadlineMillis).aggregate()

    /** Opens a call with [body]. */
    fun open(
        address: String,
        body: String,
        deadlineMillis: Long? = null,
    ): HttpResponse {
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, "http://$address/v1/completions")
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer $key")
        deadlineMillis?.let { headers.set("x-deadline-millis", it.toString()) }
        return client.execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body)))
    }

    /** Body of a completion call. */
    fun body(
        model: String,
        prompt: String,
        maxTokens: Int,
        stream: Boolean,
    ): String = "{\"model\":\"$model\",\"prompt\":\"$prompt\",\"max_tokens\":$maxTokens,\"stream\":$stream}"

    /** Body of a call for two choices of which one is enough. */
    fun pair(
        model: String,
        prompt: String,
        maxTokens: Int,
    ): String = body(model, prompt, maxTokens, stream = false).removeSuffix("}") + ",\"n\":2,\"enough\":1}"
}
