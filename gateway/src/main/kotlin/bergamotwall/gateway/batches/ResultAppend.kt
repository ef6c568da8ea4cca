package bergamotwall.gateway.batches

import bergamotwall.model.ItemResult

/**
 * What one call adds to a batch: [results] from [position] on, and [texts] that wait for their scores from number
 * [textNumber] on. At least one of the lists has an element.
 */
internal data class ResultAppend(
    val position: Int,
    val results: List<ItemResult>,
    val textNumber: Int = 0,
    val texts: List<ItemResult> = emptyList(),
)
