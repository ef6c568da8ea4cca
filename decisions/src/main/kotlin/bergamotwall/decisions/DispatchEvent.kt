package bergamotwall.decisions

import bergamotwall.model.CrashRecord
import bergamotwall.model.Finished
import bergamotwall.model.NodeId
import bergamotwall.model.Offer
import bergamotwall.model.RequestId
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport

/** What a [Dispatcher] is told. */
public sealed interface DispatchEvent {
    /** The fleet view changed; [targets] are those of this shard. */
    public data class Listed(val targets: List<DispatchTarget>) : DispatchEvent

    /** [target] reported on itself. */
    public data class Reported(val target: TargetId, val report: TargetReport) : DispatchEvent

    /** [target] did not answer when asked for a report. */
    public data class Silent(val target: TargetId) : DispatchEvent

    /** A request asks for a permit. Asking twice changes nothing. */
    public data class Offered(val offer: Offer) : DispatchEvent

    /** The requester no longer wants [request]: it leaves the queue, or its permit returns. */
    public data class Withdrawn(val request: RequestId) : DispatchEvent

    /** All of [requester]'s offers and permits are void: the node is dead. */
    public data class RequesterLost(val requester: NodeId) : DispatchEvent

    /** A permit returns with the outcome of its run. */
    public data class Returned(val finished: Finished) : DispatchEvent

    /** Crash evidence heard from other shards. */
    public data class CrashesHeard(val records: List<CrashRecord>) : DispatchEvent

    /** Time passed. */
    public data object Tick : DispatchEvent
}
