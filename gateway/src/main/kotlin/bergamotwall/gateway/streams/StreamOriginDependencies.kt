package bergamotwall.gateway.streams

import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.store.WatchConfirmation
import bergamotwall.runtime.Clock
import kotlin.random.Random

/** Dependencies of [SharedStreamOrigins]. [targetsConfirmation] proves when the list of targets was last current. */
internal class StreamOriginDependencies(
    val store: KeyValueStore,
    val gatewayState: GatewayState,
    val clock: Clock,
    val random: Random,
    val metrics: GatewayMetrics,
    val targetsConfirmation: () -> WatchConfirmation?,
)
