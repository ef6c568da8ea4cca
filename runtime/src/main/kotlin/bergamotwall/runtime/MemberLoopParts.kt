package bergamotwall.runtime

import bergamotwall.peers.PeerClient

/** What [MemberLoop] works with. */
public data class MemberLoopParts(
    val board: Blackboard,
    val keeper: DocumentKeeper,
    val journal: Journal,
    val peers: PeerClient,
    val clock: Clock,
)
