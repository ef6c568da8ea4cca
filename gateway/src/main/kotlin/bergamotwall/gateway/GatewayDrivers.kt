package bergamotwall.gateway

import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Write
import bergamotwall.drivers.http.MemoryAccount
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.scaling.ScalingApi
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetProtocol
import bergamotwall.gateway.usage.UsageDriver
import bergamotwall.gateway.weights.WeightOrders
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.WeightVersion
import bergamotwall.peers.PeerClient
import bergamotwall.runtime.Clock

/** Interfaces of a gateway process to its environment; implemented per platform. */
public data class GatewayDrivers(
    public val clock: Clock,
    public val store: KeyValueStore,
    public val feed: ChangeFeed,
    public val peers: PeerClient,
    public val client: TargetClient,
    public val protocol: TargetProtocol,
    public val orders: WeightOrders,
    public val documents: SharedDocuments,
    /** Required if usage is reported. */
    public val usage: UsageDriver? = null,
    /** Required if targets are ordered. */
    public val scaling: ScalingApi? = null,
    public val account: MemoryAccount = MemoryAccount(),
)

/** Format of the documents that operators, trainers and targets write to the key-value service; one per platform. */
public interface SharedDocuments {
    /** Prefix of the keys that operators and trainers write. */
    public val operatorPrefix: String

    /** Prefix of the keys that targets write. */
    public val targetPrefix: String

    /** The routes in [entries], or null if these hold no valid configuration. */
    public fun routes(entries: Map<String, KeyValueEntry>): RouteTable?

    /** Newest weight versions that trainers have named, by model. */
    public fun namedVersions(entries: Map<String, KeyValueEntry>): Map<ModelName, WeightVersion>

    /** VMs that operators have asked to evacuate. */
    public fun evacuations(entries: Map<String, KeyValueEntry>): Set<NodeId>

    /** The write that reports to operators that [vm] has been evacuated. */
    public fun evacuated(vm: NodeId): Write.Put

    /** The targets in [entries], without those whose registrations can't be decoded. */
    public fun targets(entries: Map<String, KeyValueEntry>): List<Target>
}
