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

/** Client for completions with the API key [key], at an entry or directly at an engine. */
internal class CompletionClient(private val key: String) {
    private val client = WebClient.builder().responseTimeoutMillis(0).maxResponseLength(0).build()

    /** Requests a completion, waits for its end and returns the status. */
    fun complete(
        address: String,
        model: String,
        prompt: String,
        maxTokens: Int,
    ): HttpStatus =
        send(address, completionBody(model, prompt, maxTokens, stream = false))
            .handle { response, _ -> response?.status() ?: HttpStatus.UNKNOWN }
            .join()

    /** Sends a call with [body]; completes with the complete response. */
    fun send(
        address: String,
        body: String,
        deadlineMillis: Long? = null,
    ): CompletableFuture<AggregatedHttpResponse> = stream(address, body, deadlineMillis).aggregate()

    /** Sends a call with [body] and returns its response as a stream. */
    fun stream(
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

    /** Body of a call for one completion. */
    fun completionBody(
        model: String,
        prompt: String,
        maxTokens: Int,
        stream: Boolean,
    ): String = "{\"model\":\"$model\",\"prompt\":\"$prompt\",\"max_tokens\":$maxTokens,\"stream\":$stream}"

    /** Body of a call for two choices of which one is enough. */
    fun twoChoicesBody(
        model: String,
        prompt: String,
        maxTokens: Int,
    ): String = completionBody(model, prompt, maxTokens, stream = false).removeSuffix("}") + ",\"n\":2,\"enough\":1}"
}
