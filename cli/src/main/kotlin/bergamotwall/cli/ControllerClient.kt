package bergamotwall.cli

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

/** Why the command line could not do what was asked. */
public sealed interface CliError {
    /** What to tell the operator. */
    public val message: String

    /** No controller answered. */
    public data class Unreachable(override val message: String) : CliError

    /** The controller refused. */
    public data class Refused(override val message: String, val status: Int) : CliError
}

/** Talks to controllers: the first of the addresses that answers. */
internal class ControllerClient(private val addresses: List<String>) {
    fun <T> get(
        path: String,
        format: DeserializationStrategy<T>,
    ): Result<T, CliError> = send(HttpMethod.GET, path, "", format)

    fun <T> post(
        path: String,
        body: String,
        format: DeserializationStrategy<T>,
    ): Result<T, CliError> = send(HttpMethod.POST, path, body, format)

    private fun <T> send(
        method: HttpMethod,
        path: String,
        body: String,
        format: DeserializationStrategy<T>,
    ): Result<T, CliError> {
        val failures = mutableListOf<String>()
        for (address in addresses) {
            try {
                return read(exchange(address, method, path, body), format)
            } catch (e: CompletionException) {
                failures += "$address: ${e.cause?.message}"
            }
        }
        return Err(CliError.Unreachable("no controller answered (${failures.joinToString("; ")}): check --controller"))
    }

    private fun exchange(
        address: String,
        method: HttpMethod,
        path: String,
        body: String,
    ): AggregatedHttpResponse {
        val client = WebClient.builder("http://$address").responseTimeout(Duration.ofSeconds(TIMEOUT_SECONDS)).build()
        return client.execute(HttpRequest.of(method, path, MediaType.JSON, body)).aggregate().join()
    }

    private fun <T> read(
        answer: AggregatedHttpResponse,
        format: DeserializationStrategy<T>,
    ): Result<T, CliError> {
        val text = answer.contentUtf8()
        return try {
            if (answer.status().isSuccess) {
                Ok(Jsons.wire.decodeFromString(format, text))
            } else {
                val problem = Jsons.wire.decodeFromString(ProblemDocument.serializer(), text)
                Err(CliError.Refused("${problem.title}: ${problem.detail}", problem.status))
            }
        } catch (e: SerializationException) {
            Err(CliError.Refused("malformed answer (${e.message}): is this a controller?", answer.status().code()))
        }
    }

    private companion object {
        private const val TIMEOUT_SECONDS = 10L
    }
}
