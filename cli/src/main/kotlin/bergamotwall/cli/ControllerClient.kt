package bergamotwall.cli

import bergamotwall.drivers.http.http1ClientFactory
import bergamotwall.model.Jsons
import bergamotwall.model.ProblemDocument
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import java.time.Duration
import java.util.concurrent.CompletionException

/** Reason why a command failed. */
public sealed interface CliError {
    /** Error message for the operator. */
    public val message: String

    /** No controller responded. */
    public data class Unreachable(override val message: String) : CliError

    /** A controller refused the request with the HTTP [status]. */
    public data class Refused(override val message: String, val status: Int) : CliError
}

/** HTTP client of the operator API: tries [addresses] in order until a controller responds. */
internal class ControllerClient(private val addresses: List<String>) {
    fun <T> get(
        path: String,
        deserializer: DeserializationStrategy<T>,
    ): Result<T, CliError> = send(HttpMethod.GET, path, "", deserializer)

    fun <T> post(
        path: String,
        body: String,
        deserializer: DeserializationStrategy<T>,
    ): Result<T, CliError> = send(HttpMethod.POST, path, body, deserializer)

    private fun <T> send(
        method: HttpMethod,
        path: String,
        body: String,
        deserializer: DeserializationStrategy<T>,
    ): Result<T, CliError> {
        val failures = mutableListOf<String>()
        for (address in addresses) {
            try {
                return decode(exchange(address, method, path, body), deserializer)
            } catch (e: CompletionException) {
                failures += "$address: ${e.cause?.message}"
            }
        }
        return Err(CliError.Unreachable("no controller responded (${failures.joinToString("; ")}): check --controller"))
    }

    private fun exchange(
        address: String,
        method: HttpMethod,
        path: String,
        body: String,
    ): AggregatedHttpResponse {
        val client =
            WebClient
                .builder("h1c://$address")
                .factory(http1ClientFactory)
                .responseTimeout(Duration.ofSeconds(TIMEOUT_SECONDS))
                .build()
        return client.execute(HttpRequest.of(method, path, MediaType.JSON, body)).aggregate().join()
    }

    private fun <T> decode(
        response: AggregatedHttpResponse,
        deserializer: DeserializationStrategy<T>,
    ): Result<T, CliError> {
        val text = response.contentUtf8()
        return try {
            if (response.status().isSuccess) {
                Ok(Jsons.wire.decodeFromString(deserializer, text))
            } else {
                val problem = Jsons.wire.decodeFromString(ProblemDocument.serializer(), text)
                Err(CliError.Refused("${problem.title}: ${problem.detail}", problem.status))
            }
        } catch (e: SerializationException) {
            Err(CliError.Refused("malformed answer (${e.message}): is this a controller?", response.status().code()))
        }
    }

    private companion object {
        private const val TIMEOUT_SECONDS = 10L
    }
}
