package bergamotwall.gateway.usage

import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.model.NodeId
import bergamotwall.peers.PeerClient
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import kotlin.random.Random

/**
 * Dependencies of [UsageReporting]; [node] is this process, in its [incarnation]. From [sharedFromMembers] members on,
 * processes try one after another to become the leader.
 */
public data class UsageDependencies(
    public val node: NodeId,
    public val incarnation: Long,
    public val gatewayState: GatewayState,
    public val store: KeyValueStore,
    public val peers: PeerClient,
    public val driver: UsageDriver,
    public val clock: Clock,
    public val random: Random,
    public val journal: Journal,
    public val metrics: GatewayMetrics,
    public val sharedFromMembers: Int = Int.MAX_VALUE,
)
