package bergamotwall.drivers

import bergamotwall.model.NodeId

/**
 * Changes up to [revision], oldest first. To read later ones, pass [revision] to [ChangeFeed.changes]. [relay] is the
 * process that relayed the response, null if the service sent it to this process. [provenAfterMillis]: how long after
 * the start of the call these were certainly all changes, negative for a time before it; null if the service answered
 * the call itself, so that only its wait tells.
 */
public data class KeyValueChanges(
    val changes: List<KeyValueChange>,
    val revision: Long,
    val relay: NodeId? = null,
    val provenAfterMillis: Long? = null,
)
