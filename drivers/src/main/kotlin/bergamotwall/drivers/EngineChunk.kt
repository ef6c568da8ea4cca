package bergamotwall.drivers

import bergamotwall.model.WeightVersion

/** Chunk of a generation, made by the weights [version]; [finishReason] is set on the last chunk. */
public data class EngineChunk(
    val text: String,
    val tokens: Int,
    val version: WeightVersion,
    val finishReason: String?,
)
