package bergamotwall.model

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable

/**
 * Result of one item: its complete text, empty if it [failed]. [versions] are those that generated an event of it.
 * [score] is what the item's reward call returned for the text; null if the item has no reward call or it [failed].
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ItemResult(
    val item: ItemId,
    val failed: Boolean,
    val text: String,
    val versions: List<WeightVersion>,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val score: String? = null,
)
