package bergamotwall.gateway

import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.targets.TargetList
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Section

/** What a process of the gateway knows. Followers write a section each; the path of a request reads snapshots. */
public class GatewayBoard {
    /** Routes in force. */
    public val routes: Section<RouteTable> = Section(RouteTable())

    /** Registered targets. */
    public val targets: Section<TargetList> = Section(TargetList())

    /** Registered processes of the gateway, this one included. */
    public val members: Section<MemberList> = Section(MemberList())

    /** VMs that operators want to take away. */
    public val evacuations: Section<Set<NodeId>> = Section(emptySet())

    /** Newest version that trainers named, by model. */
    public val namedVersions: Section<Map<ModelName, WeightVersion>> = Section(emptyMap())
}
