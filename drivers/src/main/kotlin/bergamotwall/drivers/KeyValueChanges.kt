package bergamotwall.drivers

import bergamotwall.model.NodeId

/**
 * Changes up to [revision], oldest first. To read later ones, pass [revision] to [ChangeFeed.changes]. [relay] is the
 * process that relayed the response, null if the service sent it to this process.
 */
public data class KeyValueChanges(val changes: List<KeyValueChange>, val revision: Long, val relay: NodeId? = null)
