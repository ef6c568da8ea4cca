package bergamotwall.drivers

import bergamotwall.model.NodeId

/**
 * Entries read at [revision] or later; the changes after [revision] bring them up to date. [relay] is the process that
 * relayed the response, null if the service sent it to this process. [provenAfterMillis]: how long after the start of
 * the call the entries were certainly current, negative for a time before it.
 */
public data class KeyValueListing(
    val entries: List<KeyValueEntry>,
    val revision: Long,
    val relay: NodeId? = null,
    val provenAfterMillis: Long = 0,
)
