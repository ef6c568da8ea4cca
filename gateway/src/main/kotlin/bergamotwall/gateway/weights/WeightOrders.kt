package bergamotwall.gateway.weights

import bergamotwall.gateway.targets.Target
import bergamotwall.model.FencingNumber
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.WeightVersion

/** Sends weight orders to engines and queries their state; implemented per platform. */
public interface WeightOrders {
    /** The state that [target] reports, or null if it does not respond. */
    public suspend fun report(target: Target): EngineReport?

    /** Sends [order] to [target]. */
    public suspend fun send(
        target: Target,
        order: WeightOrder,
    ): OrderOutcome
}

/**
 * State of an engine. [acceptedOrders] counts the orders accepted since its start; [busy] is true while one is being
 * carried out; [versions] are the weight versions that it runs.
 */
public data class EngineReport(
    val acceptedOrders: Long,
    val busy: Boolean,
    val versions: Map<ModelName, WeightVersion>,
)

/**
 * Order to run [version] of [model], sent by the leader [holder] under its fencing token [fence].
 *
 * [expectedOrders] is the number of orders that the engine has accepted so far: an order that arrives late is refused
 * if the engine has accepted another one meanwhile. [keepRuns]: generations in progress continue with the new version;
 * otherwise the engine completes them before it loads the version.
 */
public data class WeightOrder(
    val model: ModelName,
    val version: WeightVersion,
    val holder: NodeId,
    val fence: FencingNumber,
    val expectedOrders: Long,
    val keepRuns: Boolean,
)

/** An engine's response to an order. */
public enum class OrderOutcome {
    /** The engine is carrying the order out. */
    ACCEPTED,

    /** The engine already runs the version. */
    HOLDS_ALREADY,

    /** The engine is carrying out another order, or has accepted a different number of orders than expected. */
    CONFLICT,

    /** The engine refuses the order: its fencing token is outdated, or the order is invalid. */
    REFUSED,

    /** No response: the order may be carried out, now or later. */
    UNKNOWN,
}
