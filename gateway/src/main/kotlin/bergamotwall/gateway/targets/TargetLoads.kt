package bergamotwall.gateway.targets

import bergamotwall.model.TargetId
import java.util.concurrent.ConcurrentHashMap

/** Loads of all targets by id. Thread-safe. */
public class TargetLoads {
    private val loads = ConcurrentHashMap<TargetId, TargetLoad>()

    /** The load of target [id]; created on first use. */
    public fun of(id: TargetId): TargetLoad = loads.computeIfAbsent(id) { TargetLoad() }

    /** The load of target [id], or null if nothing is known of it. */
    public fun find(id: TargetId): TargetLoad? = loads[id]

    /** Request limits of the targets that name one, in requests a second. */
    public fun limits(): Map<TargetId, Double> =
        loads.entries.mapNotNull { (id, load) -> load.limit.perSecond?.let { id to it } }.toMap()

    /** Removes targets that are not in [ids], except those with requests of this process in flight. */
    public fun retain(ids: Set<TargetId>) {
        loads.keys.removeIf { it !in ids && loads[it]?.ownRequests == 0 }
    }
}
