package bergamotwall.drivers

/** One generation. [resumeFrom] is text that was generated before, to go on from; [trace] is a W3C `traceparent`. */
public data class EngineRequest(
    val id: String,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val resumeFrom: String = "",
    val trace: String? = null,
)
