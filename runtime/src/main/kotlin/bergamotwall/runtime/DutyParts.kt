package bergamotwall.runtime

import bergamotwall.drivers.KeyValueStore
import bergamotwall.model.NodeId

/** What the holder of a duty needs. */
public data class DutyParts(
    public val node: NodeId,
    public val store: KeyValueStore,
    public val clock: Clock,
    public val journal: Journal,
)
