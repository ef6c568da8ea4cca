package bergamotwall.decisions.membership

import bergamotwall.model.NodeId

/** A process that may watch the key-value service for others; [cores] is the processor share of its VM. */
public data class FollowerCandidate(val id: NodeId, val cores: Double)
