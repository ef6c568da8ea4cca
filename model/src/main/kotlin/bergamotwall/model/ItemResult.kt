package bergamotwall.model

import kotlinx.serialization.Serializable

/** Result of one item: its complete text, empty if it [failed]. [versions] are those that generated an event of it. */
@Serializable
public data class ItemResult(
    val item: ItemId,
    val failed: Boolean,
    val text: String,
    val versions: List<WeightVersion>,
)
