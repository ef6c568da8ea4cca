package bergamotwall.runtime

import bergamotwall.drivers.KeyValueStore
import bergamotwall.model.NodeId

/** Dependencies of [Leadership]; [node] is the process that competes for the leadership. */
public data class LeadershipDependencies(
    public val node: NodeId,
    public val store: KeyValueStore,
    public val clock: Clock,
    public val journal: Journal,
)
