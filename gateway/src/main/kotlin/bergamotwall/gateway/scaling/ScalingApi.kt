package bergamotwall.gateway.scaling

import bergamotwall.decisions.scaling.ScalingPool
import bergamotwall.model.FencingNumber
import bergamotwall.model.NodeId
import bergamotwall.model.ServiceName

/** The order of [desired] targets of [service] in [pool]. */
public data class TargetOrder(val service: ServiceName, val pool: ScalingPool, val desired: Int)

/** The platform's API for ordering targets; implemented per platform. */
public fun interface ScalingApi {
    /**
     * Sends [order] in the name of [holder]. [mayAct] is called immediately before the bytes that complete the call
     * are written; if it returns false, they never are.
     */
    public suspend fun send(
        order: TargetOrder,
        holder: NodeId,
        fence: FencingNumber,
        mayAct: () -> Boolean,
    ): ScalingOutcome
}

/** Outcome of a call of the [ScalingApi]. [answered]: the API responded, or the call certainly never reaches it. */
public enum class ScalingOutcome(public val answered: Boolean) {
    /** The order is accepted. */
    ACCEPTED(true),

    /** There are no targets to be had there at the moment. */
    NONE_AVAILABLE(true),

    /** Too many calls: to be sent again. */
    LIMITED(true),

    /** The API can't carry out the order now, but may do so later: to be sent again. */
    UNAVAILABLE(false),

    /** The API does not accept this order. */
    REFUSED(true),

    /** There is no connection to the API, or the process must not act any more. */
    NOT_SENT(true),

    /** No response: the order may have been carried out, or may still be. */
    UNKNOWN(false),
}
