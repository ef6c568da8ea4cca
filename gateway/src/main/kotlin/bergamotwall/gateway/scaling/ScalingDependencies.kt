package bergamotwall.gateway.scaling

import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.batches.WaitingItems
import bergamotwall.model.NodeId
import bergamotwall.peers.PeerClient
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import kotlin.random.Random

/**
 * Dependencies of [TargetScaling]; [node] is this process. [work] and [waitingItems] are what it does and has to do;
 * [targetsConfirmedAtMillis] tells when the registered targets were last known to be the newest.
 */
internal data class ScalingDependencies(
    val node: NodeId,
    val gatewayState: GatewayState,
    val store: KeyValueStore,
    val peers: PeerClient,
    val api: ScalingApi,
    val clock: Clock,
    val random: Random,
    val journal: Journal,
    val metrics: GatewayMetrics,
    val work: WorkRecorder,
    val waitingItems: () -> List<WaitingItems>,
    val targetsConfirmedAtMillis: () -> Long?,
)
