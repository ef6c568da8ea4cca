package bergamotwall.gateway.targets

import bergamotwall.model.TargetId
import java.util.concurrent.ConcurrentHashMap

/** Loads of all targets by id. Thread-safe. */
public class TargetLoads {
    private val loads = ConcurrentHashMap<TargetId, TargetLoad>()

    /** The load of target [id]; created on first use. */
    public fun of(id: TargetId): TargetLoad = loads.computeIfAbsent(id) { TargetLoad() }

    /** Removes targets that are not in [ids], except those with requests of this process in flight. */
    public fun retain(ids: Set<TargetId>) {
        loads.keys.removeIf { it !in ids && loads[it]?.ownRequests == 0 }
    }
}
