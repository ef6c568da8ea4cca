package bergamotwall.decisions.admission

import bergamotwall.decisions.hashOf
import bergamotwall.model.NodeId
import bergamotwall.model.TargetId

/**
 * The processes that send to a target. [entries] forward requests of callers to it, empty if no route of that kind
 * leads there; [owners] run batches whose items it gets.
 */
public data class LimitSenders(val entries: Set<NodeId>, val owners: Set<NodeId>)

/**
 * The part of [target]'s limit of [perSecond] requests a second that [self] may use.
 *
 * All processes compute the same parts from the same members, so that none has to be agreed on. A process may have one
 * request saved up, so a limit is divided among few processes if it is low: together they send at most six times the
 * limit and two requests in 4 s. The entries are chosen by rendezvous hashing. Owners of batches and entries get half
 * of the limit each if both send to the target. Others get a guest's part for items of batches that they have taken
 * over.
 */
public fun rateShareOf(
    target: TargetId,
    perSecond: Double,
    senders: LimitSenders,
    self: NodeId,
): RateShare {
    val most = (perSecond * SAVED_UP_PER_LIMIT).toInt() + SAVED_UP - senders.owners.size
    val ranked = senders.entries.sortedByDescending { hashOf("${target.value}@${it.value}") }
    val chosen = ranked.take(maxOf(1, most)).toSet()
    val usable = maxOf(perSecond, MIN_PER_SECOND)
    val divided = if (chosen.isNotEmpty() && senders.owners.isNotEmpty()) usable / 2 else usable
    var part = 0.0
    if (self in chosen) part += divided / chosen.size
    if (self in senders.owners) part += divided / senders.owners.size
    return RateShare(part, if (part > 0) maxOf(1.0, part) else 0.0)
}

/** The part of a limit that a process uses for items of batches that it runs without being their assigned owner. */
public fun guestShareOf(
    perSecond: Double,
    share: RateShare,
): RateShare = if (share.perSecond > 0) share else RateShare(maxOf(perSecond, MIN_PER_SECOND) / GUESTS, 1.0)

/** Saved-up requests of all processes, as a multiple of the limit and in addition to it. */
private const val SAVED_UP_PER_LIMIT = 2
private const val SAVED_UP = 2

/** Batches are taken over by few processes at a time. */
private const val GUESTS = 8

/** Requests a second that are sent to a target whatever its limit: only its responses tell that the limit is lifted. */
private const val MIN_PER_SECOND = 0.25
