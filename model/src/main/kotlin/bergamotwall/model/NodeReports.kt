package bergamotwall.model

import kotlinx.serialization.Serializable

/**
 * Progress of a trainer as reported by the entry that assembles its batches.
 *
 * [idleMillis] is the time, out of [observedMillis], in which the trainer was waiting for an ordered batch.
 * [stalenessVersions] is the median over the last batch; [expired] counts samples that were replaced because they had
 * become too old.
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

/** Load of a dispatch shard that the node owns. */
@Serializable
public data class ShardStatus(
    val shard: String,
    val targets: Int,
    val queued: Int,
    val running: Int,
    val capacity: Int,
    val reserved: Int,
)
