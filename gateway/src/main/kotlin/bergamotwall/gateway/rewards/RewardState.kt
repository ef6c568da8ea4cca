package bergamotwall.gateway.rewards

import bergamotwall.model.RewardCall
import bergamotwall.model.ServiceName
import kotlinx.coroutines.Job

/** State of one item's reward [call]. Confined to the batch loop. */
internal class RewardState(val call: RewardCall) {
    /** Responses that the call failed at the target that ran it. */
    var failedRuns = 0

    /** Tries that ended without a score, not counting those that no target ran. */
    var failures = 0

    /** When the call may be tried next, on the monotonic clock. */
    var notBeforeMillis = 0L

    /** Services at whose targets the try in progress may run. */
    var services: List<ServiceName> = emptyList()

    /** The try in progress, null if there is none. */
    var job: Job? = null
}
