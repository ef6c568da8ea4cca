package bergamotwall.gateway.store

import bergamotwall.decisions.crashes.InterruptionKey
import bergamotwall.model.BatchId
import bergamotwall.model.Fingerprint
import bergamotwall.model.NodeId
import bergamotwall.model.TargetId

/** Keys of the gateway in the key-value service. */
public object GatewayKeys {
    /** Prefix that every process watches. */
    public const val LIVE: String = "bergamotwall/live/"

    /** Prefix of registered members. */
    public const val MEMBERS: String = "${LIVE}members/"

    /** Prefix of runs that were interrupted by their target, by content and target. */
    public const val CRASHES: String = "${LIVE}crashes/"

    /** Prefix of the request limits of targets. */
    public const val LIMITS: String = "${LIVE}limits/"

    /** Prefix of the ownership records of batches. */
    public const val BATCHES: String = "bergamotwall/batches/"

    /** Lease key of the leader that sends weight orders. */
    public const val WEIGHT_LEADER: String = "${LIVE}duties/weights"

    /** Key whose entry names the last leader that sent weight orders; outlives its lease. */
    public const val LAST_WEIGHT_LEADER: String = "${LIVE}last/weights"

    /** Lease key of the leader that reports usage. */
    public const val USAGE_LEADER: String = "${LIVE}duties/usage"

    /** Key whose entry names the last leader that reported usage; outlives its lease. */
    public const val LAST_USAGE_LEADER: String = "${LIVE}last/usage"

    /** Prefix of the reports on usage, by window. */
    public const val USAGE: String = "bergamotwall/usage/"

    /** Lease key of the leader that orders targets. */
    public const val SCALING_LEADER: String = "${LIVE}duties/scaling"

    /** Key whose entry names the last leader that ordered targets; outlives its lease. */
    public const val LAST_SCALING_LEADER: String = "${LIVE}last/scaling"

    /** Prefix of the ordered numbers of targets, by service and data centre. */
    public const val SCALING: String = "bergamotwall/scaling/"

    private const val ITEMS = "bergamotwall/batch-items/"
    private const val RESULTS = "bergamotwall/batch-results/"
    private const val TEXTS = "bergamotwall/batch-texts/"
    private const val NUMBER_DIGITS = 6

    /** Key of the registration of [node]. */
    public fun member(node: NodeId): String = MEMBERS + node.value

    /** Key of the request limit of [target]. */
    public fun limit(target: TargetId): String = LIMITS + target.value

    /** Key of the interruption [key]. */
    public fun interruption(key: InterruptionKey): String = "$CRASHES${key.content.hex}/${key.target.value}"

    /** The interruption whose key is [text], or null if it is not one. */
    public fun interruptionKeyOf(text: String): InterruptionKey? {
        val parts = text.removePrefix(CRASHES).split('/', limit = 2)
        val content = Fingerprint.ofHex(parts[0])
        return if (content == null || parts.size < 2) null else InterruptionKey(content, TargetId(parts[1]))
    }

    /** Key of the report on the usage in [window]. */
    public fun usage(window: Long): String = USAGE + window

    /** Key of the ownership record of [batch]. */
    public fun batch(batch: BatchId): String = BATCHES + batch.value

    /** Prefix of the item chunks of [batch], by index, that the attempt [nonce] to create the batch has written. */
    public fun items(
        batch: BatchId,
        nonce: String,
    ): String = "$ITEMS${batch.value}/$nonce/"

    /** Prefix of the result chunks of [batch], by the position of their first result. */
    public fun results(batch: BatchId): String = "$RESULTS${batch.value}/"

    /** Prefix of the chunks of [batch] with texts that wait for their scores, by the number of texts stored before. */
    public fun texts(batch: BatchId): String = "$TEXTS${batch.value}/"

    /** Key of the chunk [number] under [prefix]; keys are in the order of their numbers. */
    public fun chunk(
        prefix: String,
        number: Int,
    ): String = prefix + number.toString().padStart(NUMBER_DIGITS, '0')
}
