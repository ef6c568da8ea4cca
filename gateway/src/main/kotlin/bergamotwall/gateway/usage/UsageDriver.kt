package bergamotwall.gateway.usage

import bergamotwall.gateway.forwarding.CallerRequest

/** What the reports need from the platform: its [api], and [workspaceOf], null for requests that are not counted. */
public class UsageDriver(
    public val api: UsageApi,
    public val workspaceOf: (CallerRequest) -> String? = ::workspaceOf,
)

/** The workspace to which [request] is accounted; null if it is not counted. */
public fun workspaceOf(request: CallerRequest): String? = request.workspace?.value
