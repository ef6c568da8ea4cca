package bergamotwall.runtime

import bergamotwall.peers.PeerClient

/** Dependencies of [MembershipLoop]. */
public data class MembershipLoopDependencies(
    val fleetState: FleetState,
    val replicator: DocumentReplicator,
    val journal: Journal,
    val peers: PeerClient,
    val clock: Clock,
)
