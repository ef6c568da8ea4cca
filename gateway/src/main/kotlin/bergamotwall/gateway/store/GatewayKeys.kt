package bergamotwall.gateway.store

import bergamotwall.model.BatchId
import bergamotwall.model.NodeId

/** Keys of the gateway in the key-value service. */
public object GatewayKeys {
    /** Prefix of all that is held under a lease. */
    public const val LIVE: String = "bergamotwall/live/"

    /** Prefix of registered members. */
    public const val MEMBERS: String = "${LIVE}members/"

    /** Prefix of the batches' ownership records. */
    public const val BATCHES: String = "bergamotwall/batches/"

    /** Key of the duty to order weight versions. */
    public const val WEIGHT_DUTY: String = "${LIVE}duties/weights"

    /** Who held that duty last. */
    public const val LAST_WEIGHT_HOLDER: String = "${LIVE}last/weights"

    private const val ITEMS = "bergamotwall/batch-items/"
    private const val RESULTS = "bergamotwall/batch-results/"
    private const val POSITION_DIGITS = 6

    /** Registration of [node]. */
    public fun member(node: NodeId): String = MEMBERS + node.value

    /** Ownership record of [batch]. */
    public fun batch(batch: BatchId): String = BATCHES + batch.value

    /** Prefix of the parts of the items of [batch], written by the attempt [nonce] to create it. */
    public fun items(
        batch: BatchId,
        nonce: String,
    ): String = "$ITEMS${batch.value}/$nonce/"

    /** Part [index] of the items of [batch]. */
    public fun itemPart(
        batch: BatchId,
        nonce: String,
        index: Int,
    ): String = items(batch, nonce) + index.toString().padStart(POSITION_DIGITS, '0')

    /** Prefix of the results of [batch]. */
    public fun results(batch: BatchId): String = "$RESULTS${batch.value}/"

    /** Results of [batch] from [position] on. */
    public fun resultPart(
        batch: BatchId,
        position: Int,
    ): String = results(batch) + position.toString().padStart(POSITION_DIGITS, '0')
}
