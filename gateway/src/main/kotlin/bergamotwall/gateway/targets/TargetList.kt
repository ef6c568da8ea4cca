package bergamotwall.gateway.targets

import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId

/** All registered targets. */
public class TargetList(public val targets: Map<TargetId, Target> = emptyMap()) {
    private val byService = targets.values.groupBy { it.service }

    /** Number of services whose targets run several software versions. */
    public val mixedServices: Int =
        byService.values.count { targets -> targets.distinctBy { it.softwareVersion }.size > 1 }

    /** Targets of [service], draining ones too. */
    public fun of(service: ServiceName): List<Target> = byService[service].orEmpty()

    /** Targets of [service] that are not draining. */
    public fun usable(service: ServiceName): List<Target> = of(service).filterNot { it.draining }
}
