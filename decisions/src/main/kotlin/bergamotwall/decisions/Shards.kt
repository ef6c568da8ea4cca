package bergamotwall.decisions

import bergamotwall.model.TargetId
import kotlin.math.absoluteValue

/** Targets that one dispatcher looks after at most. */
public const val TARGETS_PER_SHARD: Int = 64

/** Number of dispatch shards for [targets] targets of one model or service. */
public fun shardCount(targets: Int): Int = maxOf(1, (targets + TARGETS_PER_SHARD - 1) / TARGETS_PER_SHARD)

/** Name of shard [index] of what [serves] names. */
public fun shardName(
    serves: String,
    index: Int,
): String = "$serves#$index"

/** Shard of [target] among [count]. Consistent over all nodes that see the same list. */
public fun shardOfTarget(
    target: TargetId,
    count: Int,
): Int = slot(hashOf(target.value), count)

/** Shard of a request with prompt [prefix]: equal contents meet in one shard, which bounds what they can crash. */
public fun shardOfPrefix(
    prefix: Long,
    count: Int,
): Int = slot(prefix, count)

private fun slot(
    hash: Long,
    count: Int,
): Int = (hash % count).absoluteValue.toInt()
