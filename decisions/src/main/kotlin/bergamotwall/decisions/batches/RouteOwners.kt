package bergamotwall.decisions.batches

import bergamotwall.decisions.ownerOf
import bergamotwall.model.NodeId

/**
 * Assigns an owner among [candidates] to each of [routes]; empty if there is no candidate.
 *
 * Load pattern: all batches of a wave arrive at once, and each one's owner receives the streams of all its items. On
 * VMs of different sizes a small one is busy with them for seconds, while the others idle and readers time out. So
 * an owner is one of the largest VMs, and no VM owns two routes while another one of them owns none. Within that, an
 * owner is chosen by rendezvous hashing, so that the loss of a VM that owns nothing changes nothing.
 */
public fun assignOwners(
    routes: Collection<String>,
    candidates: Collection<OwnerCandidate>,
): Map<String, NodeId> {
    val largest = candidates.maxOfOrNull { it.cores } ?: return emptyMap()
    val strong = candidates.filter { it.cores >= largest * STRONG_SHARE }.map { it.id }
    val free = strong.toMutableSet()
    val owners = HashMap<String, NodeId>()
    for (route in routes.distinct().sorted()) {
        if (free.isEmpty()) free += strong
        val owner = ownerOf(route, free) ?: break
        free -= owner
        owners[route] = owner
    }
    return owners
}

/** VMs with this share of the cores of the largest one are as good as that. */
private const val STRONG_SHARE = 0.75
