package bergamotwall.controller

import bergamotwall.decisions.hashOf
import bergamotwall.model.MemberState
import bergamotwall.model.NodeRole
import bergamotwall.runtime.Node

/**
 * Whether this controller is among the [count] live controllers that rendezvous hashing ranks highest for [purpose].
 *
 * Only those call the key-value service for [purpose], so that the rate of calls does not grow with the fleet.
 */
internal fun Node.isCandidate(
    purpose: String,
    count: Int,
): Boolean {
    val members = fleetState.members.read()
    val controllers = members.filter { it.role == NodeRole.CONTROLLER && it.state == MemberState.ALIVE }
    val candidates = controllers.sortedByDescending { hashOf("$purpose@${it.id.value}") }.take(count)
    return candidates.any { it.id == id }
}
