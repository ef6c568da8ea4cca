package bergamotwall.decisions.batches

import bergamotwall.model.NodeId

/** A process that may run the batches of a route; [cores] is the processor share of its VM. */
public data class OwnerCandidate(val id: NodeId, val cores: Double)
