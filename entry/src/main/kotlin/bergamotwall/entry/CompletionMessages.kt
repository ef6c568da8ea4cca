package bergamotwall.entry

import bergamotwall.model.WeightVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Call of `/v1/completions`, in the OpenAI format; [enough] of [n] whole choices end the call. */
@Serializable
internal data class CompletionRequest(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int = 256,
    val n: Int = 1,
    val stream: Boolean = false,
    val enough: Int? = null,
)

/** Message of a chat. */
@Serializable
internal data class ChatMessage(val role: String, val content: String)

/** Call of `/v1/chat/completions`. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maxTokens: Int = 256,
    val n: Int = 1,
    val stream: Boolean = false,
    val enough: Int? = null,
)

/** One choice; [text] for completions, [message] or [delta] for chats. [weightVersions] made it. */
@Serializable
internal data class Choice(
    val index: Int,
    val text: String? = null,
    val message: ChatMessage? = null,
    val delta: ChatMessage? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
    @SerialName("weight_versions") val weightVersions: List<WeightVersion> = emptyList(),
)

/** Tokens of an answer. */
@Serializable
internal data class Usage(
    @SerialName("completion_tokens") val completionTokens: Int,
)

/** Answer, or with a `.chunk` [kind] a piece of one. */
@Serializable
internal data class CompletionAnswer(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage? = null,
)
