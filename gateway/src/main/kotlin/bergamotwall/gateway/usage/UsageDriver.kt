package bergamotwall.gateway.usage

import bergamotwall.gateway.forwarding.CallerRequest

/** What the reports need from the platform: its [api], and [workspaceOf], null for requests that are not counted. */
public class UsageDriver(
    public val api: UsageApi,
    public val workspaceOf: (CallerRequest) -> String? = accountOf,
)

/** The workspace to which a request is accounted; null if the request is not counted. */
public val accountOf: (CallerRequest) -> String? = { it.workspace?.value }
