package bergamotwall.runtime

import bergamotwall.peers.PeerClient

/** Dependencies of [MembershipLoop]. */
public data class MembershipLoopDependencies(
    val board: Blackboard,
    val keeper: DocumentReplicator,
    val journal: Journal,
    val peers: PeerClient,
    val clock: Clock,
)
