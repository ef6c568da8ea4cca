package bergamotwall.entry

import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** A validated completion call of either API, plain or chat. It ends when [enough] of [n] choices are complete. */
internal data class CompletionCall(
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val n: Int,
    val enough: Int,
    val stream: Boolean,
    val chat: Boolean,
)

private const val MAX_CHOICES = 128
private const val MAX_TOKENS = 1_000_000

/** Parses and validates the body of a completion call. */
internal fun readCompletion(body: String): Result<CompletionCall, Problem> =
    read(CompletionRequest.serializer(), body) {
        CompletionCall(it.model, it.prompt, it.maxTokens, it.n, it.enough ?: it.n, it.stream, chat = false)
    }

/** Parses and validates the body of a chat completion call. */
internal fun readChat(body: String): Result<CompletionCall, Problem> =
    read(ChatRequest.serializer(), body) { chat ->
        val prompt = chat.messages.joinToString("\n") { "${it.role}: ${it.content}" }
        CompletionCall(chat.model, prompt, chat.maxTokens, chat.n, chat.enough ?: chat.n, chat.stream, chat = true)
    }

private fun <T> read(
    format: KSerializer<T>,
    body: String,
    convert: (T) -> CompletionCall,
): Result<CompletionCall, Problem> = readBody(format, body).let {
    if (it.isOk) validate(convert(it.value)) else Err(it.error)
}

private val lenient = Json { ignoreUnknownKeys = true }

/** Parses a JSON [body] from a caller. Unknown fields are ignored, as OpenAI clients send many that are unused here. */
internal fun <T> readBody(
    format: KSerializer<T>,
    body: String,
): Result<T, Problem> =
    try {
        Ok(lenient.decodeFromString(format, body))
    } catch (e: SerializationException) {
        Err(Problem(ProblemKind.BAD_REQUEST, "body: ${e.message.orEmpty().lineSequence().first()}"))
    }

private fun validate(call: CompletionCall): Result<CompletionCall, Problem> {
    val detail =
        when {
            call.model.isBlank() -> "model is blank: name a model of a confirmed intent"
            call.n !in 1..MAX_CHOICES -> "n is ${call.n}: use 1 to $MAX_CHOICES"
            call.enough !in 1..call.n -> "enough is ${call.enough}: use 1 to n"
            call.maxTokens !in 1..MAX_TOKENS -> "max_tokens is ${call.maxTokens}: use 1 to $MAX_TOKENS"
            else -> return Ok(call)
        }
    return Err(Problem(ProblemKind.BAD_REQUEST, detail))
}
