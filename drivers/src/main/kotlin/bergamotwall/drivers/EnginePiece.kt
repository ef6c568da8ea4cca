package bergamotwall.drivers

import bergamotwall.model.WeightVersion

/** One piece of a generation; [finishReason] is set on the last. [version] is the one that made it. */
public data class EnginePiece(
    val text: String,
    val tokens: Int,
    val version: WeightVersion,
    val finishReason: String?,
)
