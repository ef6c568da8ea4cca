package bergamotwall.runtime

import bergamotwall.drivers.KeyValueStore
import bergamotwall.model.NodeId

/** Dependencies of [Duty]; [node] is the process that competes for the leadership. */
public data class DutyParts(
    public val node: NodeId,
    public val store: KeyValueStore,
    public val clock: Clock,
    public val journal: Journal,
)
