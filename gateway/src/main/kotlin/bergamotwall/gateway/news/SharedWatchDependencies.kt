package bergamotwall.gateway.news

import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.store.StoreOutages
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.peers.PeerClient
import bergamotwall.runtime.Clock

/**
 * What the shared watches of process [self] work with. [store] and [feed] are the key-value service itself. [isUrgent]
 * returns whether this process must learn of changes under a prefix at once.
 */
internal data class SharedWatchDependencies(
    val self: NodeId,
    val dataCentre: DataCentre,
    val members: () -> MemberList,
    val store: KeyValueStore,
    val feed: ChangeFeed,
    val peers: PeerClient,
    val clock: Clock,
    val outages: StoreOutages,
    val metrics: GatewayMetrics,
    val isUrgent: (prefix: String) -> Boolean,
)
