package bergamotwall.decisions.membership

import bergamotwall.decisions.weights.RolloutReplica
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/**
 * Parses the replicas of a rollout case, each `id:version:running`, followed by `s` if it is swapping, `u` if it is
 * unreachable, or `f` if its swaps failed too often.
 */
internal fun replicas(text: String): List<RolloutReplica> =
    text.split(' ').filter { it.isNotEmpty() }.map { word ->
        val (id, version, running) = word.trimEnd('s', 'u', 'f').split(':')
        RolloutReplica(
            id = TargetId(id),
            version = WeightVersion(version.toLong()),
            swapping = word.endsWith('s'),
            running = running.toInt(),
            reachable = !word.endsWith('u'),
            failedAttempts = if (word.endsWith('f')) 4 else 0,
        )
    }
