package bergamotwall.gateway.crashes

import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.NodeId

/** Dependencies of [SharedCrashGuard]. [targetsConfirmedAtMillis] is when the list of targets was last current. */
internal class CrashGuardDependencies(
    val self: NodeId,
    val store: KeyValueStore,
    val targets: TargetDependencies,
    val targetsConfirmedAtMillis: () -> Long?,
)
