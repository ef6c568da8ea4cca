package bergamotwall.decisions

import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/** Shorthand for rollout cases: `id:version:running`, with `s` for swapping, `u` for unreachable, `f` for failed. */
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
