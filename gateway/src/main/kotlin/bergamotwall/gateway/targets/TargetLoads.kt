package bergamotwall.gateway.targets

import bergamotwall.model.TargetId
import java.util.concurrent.ConcurrentHashMap

/** Loads of all targets by id. Safe for many threads. */
public class TargetLoads {
    private val loads = ConcurrentHashMap<TargetId, TargetLoad>()

    /** Load of target [id]. */
    public fun of(id: TargetId): TargetLoad = loads.computeIfAbsent(id) { TargetLoad() }

    /** Forgets targets that are not in [ids]. */
    public fun retain(ids: Set<TargetId>) {
        loads.keys.removeIf { it !in ids && loads[it]?.ownRequests == 0 }
    }
}
