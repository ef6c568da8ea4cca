package bergamotwall.gateway

import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.targets.TargetList
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.AtomicSnapshot

/**
 * State of the key-value service as known to a gateway process. Each property is written by one watch, except as
 * stated; request handling reads immutable snapshots.
 */
public class GatewayState {
    /** The current configuration of routes. */
    public val routes: AtomicSnapshot<RouteTable> = AtomicSnapshot(RouteTable())

    /** Registered targets. Responses in which targets say that they are leaving update it, too. */
    public val targets: AtomicSnapshot<TargetList> = AtomicSnapshot(TargetList())

    /** Registered gateway processes, including this one. */
    public val members: AtomicSnapshot<MemberList> = AtomicSnapshot(MemberList())

    /** VMs that operators have asked to evacuate. */
    public val evacuations: AtomicSnapshot<Set<NodeId>> = AtomicSnapshot(emptySet())

    /** Newest weight version that trainers have named for the engines to load, by model. */
    public val namedVersions: AtomicSnapshot<Map<ModelName, WeightVersion>> = AtomicSnapshot(emptyMap())
}
