package bergamotwall.gateway.targets

import bergamotwall.decisions.CandidateTarget
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.http.TargetClient
import bergamotwall.model.DataCentre
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import kotlin.random.Random

/** Dependencies of everything that sends requests to targets. [dataCentre] is the data centre of this process. */
public data class TargetDependencies(
    public val gatewayState: GatewayState,
    public val client: TargetClient,
    public val protocol: TargetProtocol,
    public val loads: TargetLoads,
    public val clock: Clock,
    public val random: Random,
    public val journal: Journal,
    public val dataCentre: DataCentre,
    public val metrics: GatewayMetrics,
) {
    /** Input for the placement policy: the current state of [targets]. */
    internal fun candidates(targets: Collection<Target>): List<CandidateTarget> {
        val nowMillis = clock.monotonicMillis()
        return targets.map { loads.of(it.id).candidate(it, it.dataCentre == dataCentre, nowMillis) }
    }
}
