package bergamotwall.decisions.duties

import bergamotwall.decisions.rankOf
import bergamotwall.model.NodeId

/**
 * How long process [self] waits, once the leadership [key] is free, before it tries to acquire it: the [candidates]
 * try one after another, in the order of their hashes, and no longer when the watched entries name a leader. 0 if there
 * are no other candidates.
 *
 * Load pattern: all processes of a large fleet learn at about the same time that a leadership is free. If all tried at
 * once, each would make several calls, and all but one in vain.
 */
public fun attemptDelayMillis(
    key: String,
    self: NodeId,
    candidates: Collection<NodeId>,
): Long = minOf(rankOf(key, self, candidates), LAST_RANK) * ATTEMPT_MILLIS

/** Enough for the calls of an attempt, and for the news of it over a follower that pauses after changes. */
private const val ATTEMPT_MILLIS = 500L

/** From this rank on, processes try at the same time: six before them failed or have no path to the service. */
private const val LAST_RANK = 6
