package bergamotwall.gateway

import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Write
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetProtocol
import bergamotwall.gateway.weights.WeightOrders
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.WeightVersion
import bergamotwall.peers.PeerClient
import bergamotwall.runtime.Clock

/** What a process of the gateway reaches the world by; differs by platform. */
public data class GatewayDrivers(
    public val clock: Clock,
    public val store: KeyValueStore,
    public val feed: ChangeFeed,
    public val peers: PeerClient,
    public val client: TargetClient,
    public val protocol: TargetProtocol,
    public val orders: WeightOrders,
    public val documents: SharedDocuments,
)

/** Documents that operators, trainers and targets keep in the key-value service; differs by platform. */
public interface SharedDocuments {
    /** Prefix of what operators and trainers write. */
    public val operatorPrefix: String

    /** Prefix of what targets write. */
    public val targetPrefix: String

    /** The routes among [entries], or null if there is no valid document. */
    public fun routes(entries: Map<String, KeyValueEntry>): RouteTable?

    /** Newest versions that trainers named. */
    public fun namedVersions(entries: Map<String, KeyValueEntry>): Map<ModelName, WeightVersion>

    /** VMs that operators want to take away. */
    public fun evacuations(entries: Map<String, KeyValueEntry>): Set<NodeId>

    /** The write that tells operators that [vm] is empty. */
    public fun evacuated(vm: NodeId): Write.Put

    /** Targets among [entries]; those that can't be read are left out. */
    public fun targets(entries: Map<String, KeyValueEntry>): List<Target>
}
