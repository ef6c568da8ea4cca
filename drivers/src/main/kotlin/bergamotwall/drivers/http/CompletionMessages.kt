package bergamotwall.drivers.http

import bergamotwall.drivers.EngineChunk
import bergamotwall.model.WeightVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** Completion request to an engine: the OpenAI format, extended by fields for the request id and for resumption. */
@Serializable
public data class CompletionCall(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val stream: Boolean,
    @SerialName("request_id") val requestId: String = "",
    @SerialName("resume_from") val resumeFrom: String = "",
)

/** One choice of a completion. */
@Serializable
public data class CompletionChoice(
    val text: String,
    @SerialName("finish_reason") val finishReason: String? = null,
    val index: Int = 0,
)

/** One event of a completion stream. [weightVersion] is the version that made it; engines must set it. */
@Serializable
public data class CompletionEvent(
    val choices: List<CompletionChoice>,
    val tokens: Int = 1,
    @SerialName("weight_version") val weightVersion: WeightVersion? = null,
)

internal fun CompletionEvent.toChunk(): EngineChunk {
    val choice = choices.first()
    val version = weightVersion ?: throw SerializationException("completion event without weight_version")
    return EngineChunk(choice.text, tokens, version, choice.finishReason)
}
