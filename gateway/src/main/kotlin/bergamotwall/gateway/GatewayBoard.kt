package bergamotwall.gateway

import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.targets.TargetList
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Section

/**
 * State of the key-value service as known to a gateway process. Each property is written by one watch; request handling
 * reads immutable snapshots.
 */
public class GatewayBoard {
    /** The current configuration of routes. */
    public val routes: Section<RouteTable> = Section(RouteTable())

    /** Registered targets. */
    public val targets: Section<TargetList> = Section(TargetList())

    /** Registered gateway processes, including this one. */
    public val members: Section<MemberList> = Section(MemberList())

    /** VMs that operators have asked to evacuate. */
    public val evacuations: Section<Set<NodeId>> = Section(emptySet())

    /** Newest weight version that trainers have named for the engines to load, by model. */
    public val namedVersions: Section<Map<ModelName, WeightVersion>> = Section(emptyMap())
}
