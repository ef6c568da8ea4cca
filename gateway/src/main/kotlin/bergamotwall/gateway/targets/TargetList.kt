package bergamotwall.gateway.targets

import bergamotwall.decisions.membership.DepartureTable
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId

/** All registered targets. [departures] tells which of them have said in a response that they are leaving. */
public class TargetList(
    public val targets: Map<TargetId, Target> = emptyMap(),
    private val departures: DepartureTable = DepartureTable(),
) {
    private val byService = targets.values.groupBy { it.service }
    private val usableByService = byService.mapValues { (_, targets) -> targets.filterNot { isLeaving(it) } }

    /** Number of services whose targets run several software versions. */
    public val mixedServices: Int =
        byService.values.count { targets -> targets.distinctBy { it.softwareVersion }.size > 1 }

    /** Targets of [service], leaving ones too. */
    public fun of(service: ServiceName): List<Target> = byService[service].orEmpty()

    /** Targets of [service] that may be sent requests: those that are not leaving. */
    public fun usable(service: ServiceName): List<Target> = usableByService[service].orEmpty()

    /** Whether [target] is leaving, by its registration or by one of its responses. */
    public fun isLeaving(target: Target): Boolean = target.draining || hasAnnounced(target)

    /** Whether [target] has said in a response that it is leaving. */
    public fun hasAnnounced(target: Target): Boolean = departures.contains(target.id, target.startedAtMillis)

    /** The list once [target] has said in a response that it is leaving. */
    public fun withDeparture(target: Target): TargetList =
        TargetList(targets, departures.with(target.id, target.startedAtMillis))

    /** The list at [nowMillis], when [registered] are the registered targets. */
    public fun next(
        registered: Map<TargetId, Target>,
        nowMillis: Long,
    ): TargetList = TargetList(registered, departures.next(registered.keys, nowMillis, DEPARTURE_RETENTION_MILLIS))

    private companion object {
        /** Longer than a target serves after it has begun to leave, or a registration lapses while it serves. */
        private const val DEPARTURE_RETENTION_MILLIS = 120_000L
    }
}
