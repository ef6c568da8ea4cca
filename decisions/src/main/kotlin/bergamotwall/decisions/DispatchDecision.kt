package bergamotwall.decisions

import bergamotwall.model.Problem
import bergamotwall.model.RequestId
import bergamotwall.model.TargetId

/** What a [Dispatcher] decided about one request. */
public sealed interface DispatchDecision {
    /** The request that this is about. */
    public val request: RequestId

    /** The rule that fired, for the journal. */
    public val rule: String

    /** The request may run on [target], once. */
    public data class Grant(
        override val request: RequestId,
        val target: TargetId,
        val address: String,
        override val rule: String,
    ) : DispatchDecision

    /** The request is refused; it did not run. */
    public data class Refuse(
        override val request: RequestId,
        val problem: Problem,
        override val rule: String,
    ) : DispatchDecision
}
