package bergamotwall.decisions.placement

import bergamotwall.model.CrashRecord
import bergamotwall.model.DispatchRequest
import bergamotwall.model.NodeId
import bergamotwall.model.RequestId
import bergamotwall.model.RunFinished
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport

/** Input of a [Dispatcher]. */
public sealed interface DispatchEvent {
    /** The targets of the shard changed; [targets] is the full new list. */
    public data class TargetsChanged(val targets: List<DispatchTarget>) : DispatchEvent

    /** [target] reported its state. */
    public data class TargetReported(val target: TargetId, val report: TargetReport) : DispatchEvent

    /** [target] did not respond to a request for its state. */
    public data class TargetUnresponsive(val target: TargetId) : DispatchEvent

    /** [request] asks for a permit. Idempotent. */
    public data class RequestReceived(val request: DispatchRequest) : DispatchEvent

    /** The requester cancelled request [id]: it leaves the queue, or its permit is released. */
    public data class Withdrawn(val id: RequestId) : DispatchEvent

    /** [requester] was declared dead: its queued requests and its permits are void. */
    public data class RequesterLost(val requester: NodeId) : DispatchEvent

    /** A run ended: its permit is released, and its outcome is taken into account. */
    public data class RunEnded(val finished: RunFinished) : DispatchEvent

    /** Crash evidence arrived from other shards. */
    public data class CrashesReceived(val records: List<CrashRecord>) : DispatchEvent

    /** Time passed. */
    public data object Tick : DispatchEvent
}
