package bergamotwall.entry

import bergamotwall.model.WeightVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Body of `POST /v1/completions`, in the OpenAI format. [enough] is an extension: the call ends when that many of the
 * [n] choices are complete.
 */
@Serializable
internal data class CompletionRequest(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int = 256,
    val n: Int = 1,
    val stream: Boolean = false,
    val enough: Int? = null,
)

/** One message of a chat. */
@Serializable
internal data class ChatMessage(val role: String, val content: String)

/** Body of `POST /v1/chat/completions`, in the OpenAI format, with the same extension as [CompletionRequest]. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maxTokens: Int = 256,
    val n: Int = 1,
    val stream: Boolean = false,
    val enough: Int? = null,
)

/**
 * One choice: [text] for completions, [message] or, in a stream, [delta] for chats. [weightVersions] are the versions
 * of the weights that generated it.
 */
@Serializable
internal data class Choice(
    val index: Int,
    val text: String? = null,
    val message: ChatMessage? = null,
    val delta: ChatMessage? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
    @SerialName("weight_versions") val weightVersions: List<WeightVersion> = emptyList(),
)

/** Token counts of a response. */
@Serializable
internal data class Usage(
    @SerialName("completion_tokens") val completionTokens: Int,
)

/** Response to a completion call, or one chunk of it if [kind] ends in `.chunk`. */
@Serializable
internal data class CompletionResponse(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage? = null,
)
