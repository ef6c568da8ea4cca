package bergamotwall.gateway.targets

import bergamotwall.decisions.placement.CandidateTarget
import bergamotwall.drivers.http.MemoryAccount
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.scaling.WorkRecorder
import bergamotwall.gateway.usage.StartRecorder
import bergamotwall.model.DataCentre
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import org.tinylog.Logger
import kotlin.random.Random

/**
 * Dependencies of everything that sends requests to targets. [dataCentre] is the data centre of this process; what is
 * held of requests and responses counts in [account]. [isLargeFleet] tells whether the fleet has so many members that
 * its processes make fewer calls to the key-value service.
 */
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
    public val limits: TargetLimits,
    public val departures: Departures = Departures(gatewayState, client, metrics),
    public val starts: StartRecorder = StartRecorder.NONE,
    public val account: MemoryAccount = MemoryAccount(),
    public val isLargeFleet: () -> Boolean = { false },
    public val work: WorkRecorder = WorkRecorder(clock),
) {
    /** Input for the placement policy: the current state of [targets] for requests of [purpose]. */
    internal fun candidates(
        targets: Collection<Target>,
        purpose: SendPurpose,
    ): List<CandidateTarget> {
        val nowMillis = clock.monotonicMillis()
        return targets.map { target ->
            val admitted = limits.admitted(target, purpose, nowMillis)
            candidate(target, loads.of(target.id), admitted, nowMillis)
        }
    }

    /** The same as [candidates] for one [target], with the inputs that it is made from. Changes no state. */
    internal fun view(
        target: Target,
        purpose: SendPurpose,
    ): TargetView {
        val nowMillis = clock.monotonicMillis()
        val load = loads.find(target.id) ?: TargetLoad()
        val limit = limits.view(target, purpose, nowMillis)
        val candidate = candidate(target, load, limit?.admitted ?: Int.MAX_VALUE, nowMillis)
        return TargetView(target, candidate, loadView(load, candidate, nowMillis), limit)
    }

    private fun candidate(
        target: Target,
        load: TargetLoad,
        admitted: Int,
        nowMillis: Long,
    ): CandidateTarget =
        load.candidate(target, target.dataCentre == dataCentre, nowMillis).copy(admitted = admitted)

    /**
     * Records what the head of [target]'s response to request [requestId], sent at [sentAtMillis], tells of the target.
     */
    internal fun responded(
        target: Target,
        metadata: ResponseMetadata,
        requestId: String,
        sentAtMillis: Long,
    ) {
        val load = loads.of(target.id)
        val nowMillis = clock.monotonicMillis()
        metadata.load?.let { load.reported(it, nowMillis) }
        if (metadata.unreadableLoad != null && load.firstUnreadableLoad()) {
            Logger.warn("event=load_unreadable target={} value=\"{}\"", target.id.value, metadata.unreadableLoad)
        }
        if (metadata.signed && !metadata.notRun) load.responding()
        if (metadata.signed && metadata.leaving) departures.announced(target, requestId)
        // Other responses may come from a process that has taken over the address.
        if (metadata.signed || metadata.full) limits.reported(target, metadata.limitPerSecond, sentAtMillis, nowMillis)
    }
}
