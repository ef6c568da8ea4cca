package bergamotwall.drivers

/** A generation. [resumeFrom] is previously generated text to continue from; [trace] is a W3C `traceparent`. */
public data class EngineRequest(
    val id: String,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val resumeFrom: String = "",
    val trace: String? = null,
)
