package bergamotwall.decisions.placement

import bergamotwall.decisions.hashOf
import bergamotwall.model.TargetId
import kotlin.math.absoluteValue

/** Maximum average number of targets of a shard. Single shards can exceed it, as hashing spreads targets unevenly. */
public const val TARGETS_PER_SHARD: Int = 64

/** Number of dispatch shards for [targets] targets of one model or service. */
public fun shardCount(targets: Int): Int = maxOf(1, (targets + TARGETS_PER_SHARD - 1) / TARGETS_PER_SHARD)

/** Name of shard [index] of the model or service [serves]. */
public fun shardName(
    serves: String,
    index: Int,
): String = "$serves#$index"

/** Shard of [target] among [count] shards. The same on all nodes that see the same list of targets. */
public fun shardOfTarget(
    target: TargetId,
    count: Int,
): Int = shardOf(hashOf(target.value), count)

/** Shard of a request with prompt [prefix]. Equal contents share a shard, which limits the targets they can crash. */
public fun shardOfPrefix(
    prefix: Long,
    count: Int,
): Int = shardOf(prefix, count)

private fun shardOf(
    hash: Long,
    count: Int,
): Int = (hash % count).absoluteValue.toInt()
