package bergamotwall.model

import kotlinx.serialization.Serializable

/**
 * How a trainer fares, as the entry that assembles its batches sees it.
 *
 * [idleMillis] is the time that an order of it was open, out of [observedMillis]. [stalenessVersions] is the median
 * over the last batch; [expired] counts samples that were replaced because they had become too old.
 */
@Serializable
public data class TrainerStatus(
    val name: TrainerName,
    val batch: Long,
    val ready: Int,
    val wanted: Int,
    val idleMillis: Long,
    val observedMillis: Long,
    val stalenessVersions: Double,
    val expired: Long,
    val cancelled: Long,
)

/** Load of one dispatch shard that the node owns. */
@Serializable
public data class ShardStatus(
    val shard: String,
    val targets: Int,
    val queued: Int,
    val running: Int,
    val capacity: Int,
    val reserved: Int,
)
