package bergamotwall.decisions.placement

import bergamotwall.model.Problem
import bergamotwall.model.RequestId
import bergamotwall.model.TargetId

/** Decision of a [Dispatcher] about one request. */
public sealed interface DispatchDecision {
    /** The request that was decided on. */
    public val request: RequestId

    /** The rule that led to the decision, for the journal. */
    public val rule: String

    /** The request may run once, on [target]. */
    public data class Grant(
        override val request: RequestId,
        val target: TargetId,
        val address: String,
        override val rule: String,
    ) : DispatchDecision

    /** The request is refused and did not run. */
    public data class Refuse(
        override val request: RequestId,
        val problem: Problem,
        override val rule: String,
    ) : DispatchDecision
}
