package bergamotwall.decisions.membership

import bergamotwall.decisions.hashOf
import bergamotwall.model.NodeId
import kotlin.math.ln

/**
 * The processes of a data centre, at most two, that watch the key-value service for the others, out of its ready
 * [candidates]: weighted rendezvous hashing by processor share, so that small VMs rarely serve many readers and the
 * loss of a process changes the choice only if it was chosen. Two, so that the loss of one leaves the other.
 */
public fun followersOf(candidates: Collection<FollowerCandidate>): List<FollowerCandidate> =
    ranked("watches", candidates).take(FOLLOWERS_PER_DATA_CENTRE)

/** The order in which [reader] asks [followers]: spreads the readers over them by their processor shares. */
public fun followerOrder(
    reader: NodeId,
    followers: Collection<FollowerCandidate>,
): List<NodeId> = ranked(reader.value, followers).map { it.id }

private fun ranked(
    key: String,
    candidates: Collection<FollowerCandidate>,
): List<FollowerCandidate> = candidates.sortedWith(compareBy({ scoreOf(key, it) }, { it.id.value }))

/** Exponentially distributed with the rate `cores`: the lowest score falls to each in proportion to its cores. */
private fun scoreOf(
    key: String,
    candidate: FollowerCandidate,
): Double {
    val uniform = ((hashOf("$key@${candidate.id.value}") ushr UNUSED_BITS) + HALF) / DOUBLE_STEPS
    return -ln(uniform) / maxOf(candidate.cores, MIN_CORES)
}

private const val FOLLOWERS_PER_DATA_CENTRE = 2

/** A double holds 53 bits of the hash. */
private const val UNUSED_BITS = 11
private const val DOUBLE_STEPS = 9_007_199_254_740_992.0
private const val HALF = 0.5

/** Keeps the score finite for a member that states no processor share. */
private const val MIN_CORES = 0.01
