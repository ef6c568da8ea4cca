package bergamotwall.gateway.relays

import bergamotwall.model.NodeId

/** Another process that relays requests to targets at [address]. */
public data class RelayPeer(val id: NodeId, val address: String)
